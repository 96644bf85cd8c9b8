Feature: Work that may not be repeated runs at most once

  Scenario: A deposit is repeated over two entries after its answer was lost
    Given a fleet
    And the next answer of entry-0 is lost
    When russo sends a deposit over entry-0
    And the deposit is repeated over entry-1 until it is answered
    Then the deposit ran once
    And every promise was kept

  Scenario: A deposit is sent to both entries at once
    Given a fleet
    And the shop takes 1 s for a call
    When russo begins a deposit over entry-0
    And the deposit is sent again over entry-1
    And the deposit is repeated over entry-1 until it is answered
    Then the deposit ran once
    And every promise was kept

  Scenario: An agent is killed in the midst of a label issuance
    Given a fleet
    And the shop takes 5 s for a call
    When derwent begins a label over entry-0
    And the label has begun to run
    And plain-2 is killed
    And the label is sent again over entry-1
    And plain-2 is started again
    And the shop answers again
    And the label is sent again over entry-1
    And the label is sent again over entry-0
    Then the label ran at most once
    And every promise was kept

  Scenario: The shop crashes after the effect of a deposit
    Given a fleet
    And the shop crashes after its next effect
    When russo sends a deposit over entry-0
    And the endpoint of plain-2 is started again
    And the shop answers again
    And the deposit is sent again over entry-1
    Then the deposit ran once
    And the deposit was not called "not run"
    And every promise was kept

  Scenario: An entry is killed in the midst of a deposit
    Given a fleet
    And the shop takes 2 s for a call
    When russo begins a deposit over entry-0
    And the deposit has begun to run
    And entry-0 is killed
    And the deposit is sent again over entry-1
    And the deposit is repeated over entry-1 until it is answered
    Then the deposit ran once
    And every promise was kept
