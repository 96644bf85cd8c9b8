Feature: The platform's store may fail at any time

  Scenario Outline: The store misbehaves under load and recovers
    Given a fleet under load
    When the platform <fault> for 4 s
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every promise was kept

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
    Then every promise was kept

  Scenario: The store loses answers while an agent dies
    Given a fleet under load
    When the platform loses all answers
    And engine-0 is killed
    And the platform is well again
    And engine-0 is started again
    Then entry-0 answers
    When the load ends
    Then every promise was kept

  Scenario: The store is slow and links fall silent
    Given a fleet under load
    When the platform is slow
    And open links to every engine fall silent
    And the platform is well again
    Then entry-0 answers
    When the load ends
    Then every promise was kept
