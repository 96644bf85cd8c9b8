Feature: A withdrawn key stops working within seconds

  Scenario: A key is withdrawn during a stream
    Given a fleet
    When russo starts a stream through entry-0
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 5 s
    And every invariant holds

  Scenario: A key is withdrawn and then the store goes down
    Given a fleet
    When the key of russo is withdrawn
    And the platform is down
    Then the withdrawn key is refused by every entry within 5 s
    When the platform recovers
    Then every invariant holds

  Scenario: A key is withdrawn while an entry is cut off from the store
    Given a fleet
    When entry-1 is cut off from the platform
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 10 s
    When entry-1 reaches the platform again
    Then entry-1 runs again
    And entry-1 answers derwent
    And every invariant holds

  Scenario: A key is withdrawn while an entry is fully partitioned
    Given a fleet
    When entry-1 is cut off from the platform
    And the entries are cut off from each other
    And the key of russo is withdrawn
    Then the withdrawn key is refused by every entry within 10 s
    When entry-1 reaches the platform again
    And the entries reach each other again
    Then entry-1 runs again
    And entry-1 answers derwent
    And every invariant holds

  Scenario: Two operators update the same row at once
    Given a fleet
    When two operators set the weight of russo at once
    Then one of them gets a conflict
    And all entries show the same weight of russo
    And every invariant holds
