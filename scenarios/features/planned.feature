Feature: Planned changes cut no request

  Scenario Outline: A process is asked to end under load
    Given a fleet under load
    And the shop takes 0.5 s for a call
    When russo begins 4 streams
    And <host> is terminated
    Then <host> ends with code 0
    When the load ends
    Then nothing of the load was cut
    And every promise was kept
    And bills are complete

    Examples:
      | host     |
      | entry-0  |
      | engine-0 |
      | plain-2  |

  Scenario: An endpoint leaves under load
    Given a fleet under load
    When russo begins 4 streams
    And engine-0 is listed as leaving
    Then engine-0 gets no new work after a few seconds
    When the load ends
    Then nothing of the load was cut
    And every promise was kept

  Scenario: Roles change under load
    Given a fleet under load
    When russo begins 4 streams
    And engine-0 is ordered to decode
    Then engine-0 takes the newest order
    When the load ends
    Then nothing of the load was cut
    And every promise was kept
