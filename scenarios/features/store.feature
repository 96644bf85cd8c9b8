Feature: The service tolerates failures of the platform's store

  Scenario Outline: The store fails under load and recovers
    Given a fleet under load
    When the platform <fault> for 4 s
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every invariant holds

    Examples:
      | fault             |
      | is down           |
      | is silent         |
      | is slow           |
      | loses all answers |

  Scenario: One entry is cut off from the store
    Given a fleet under load
    When entry-0 is cut off from the platform for 6 s
    Then entry-0 answers
    When the load ends
    Then every invariant holds

  Scenario: The store loses answers while an agent is killed
    Given a fleet under load
    When the platform loses all answers
    And engine-0 is killed
    And the platform recovers
    And engine-0 is started again
    Then entry-0 answers
    When the load ends
    Then every invariant holds

  Scenario: The store is slow and links drop all data
    Given a fleet under load
    When the platform is slow
    And open links to every engine drop all data
    And the platform recovers
    Then entry-0 answers
    When the load ends
    Then every invariant holds
