Feature: A request that is not idempotent runs at most once

  Scenario: A deposit is repeated through two entries after its answer was lost
    Given a fleet
    And the next answer of entry-0 is lost
    When russo sends a deposit through entry-0
    And the deposit is repeated through entry-1 until it is answered
    Then the deposit ran once
    And every invariant holds

  Scenario: A deposit is sent to both entries at once
    Given a fleet
    And the shop takes 1 s for a call
    When russo starts a deposit through entry-0
    And the deposit is sent again through entry-1
    And the deposit is repeated through entry-1 until it is answered
    Then the deposit ran once
    And every invariant holds

  Scenario: An agent is killed during a label issuance
    Given a fleet
    And the shop takes 5 s for a call
    When derwent starts a label through entry-0
    And the label has started to run
    And plain-2 is killed
    And the label is sent again through entry-1
    And plain-2 is started again
    And the shop answers again
    And the label is sent again through entry-1
    And the label is sent again through entry-0
    Then the label ran at most once
    And every invariant holds

  Scenario: The shop crashes after the effect of a deposit
    Given a fleet
    And the shop crashes after its next effect
    When russo sends a deposit through entry-0
    And the endpoint of plain-2 is started again
    And the shop answers again
    And the deposit is sent again through entry-1
    Then the deposit ran once
    And the deposit was not reported as "not run"
    And every invariant holds

  Scenario: An entry is killed during a deposit
    Given a fleet
    And the shop takes 2 s for a call
    When russo starts a deposit through entry-0
    And the deposit has started to run
    And entry-0 is killed
    And the deposit is sent again through entry-1
    And the deposit is repeated through entry-1 until it is answered
    Then the deposit ran once
    And every invariant holds
