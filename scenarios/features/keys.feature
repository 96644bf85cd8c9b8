Feature: A withdrawn key stops working within seconds

  Scenario: A key is withdrawn during a stream
    Given a fleet
    When russo begins a stream over entry-0
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 5 s
    And every promise was kept

  Scenario: A key is withdrawn and then the store goes down
    Given a fleet
    When the key of russo is withdrawn
    And the platform is down
    Then the withdrawn key is refused by every entry within 5 s
    When the platform is well again
    Then every promise was kept

  Scenario: A key is withdrawn while an entry is cut off from the store
    Given a fleet
    When entry-1 is cut off from the platform
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 10 s
    When entry-1 reaches the platform again
    Then entry-1 runs again
    And entry-1 answers derwent
    And every promise was kept

  Scenario: A key is withdrawn while an entry is cut off from everything
    Given a fleet
    When entry-1 is cut off from the platform
    And the entries are cut off from each other
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 10 s
    When entry-1 reaches the platform again
    And the entries reach each other again
    Then entry-1 runs again
    And entry-1 answers derwent
    And every promise was kept

  Scenario: Two operators race on a row
    Given a fleet
    When two operators set the weight of russo at once
    Then one of them is told of the conflict
    And all entries show the same weight of russo
    And every promise was kept
