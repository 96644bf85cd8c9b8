Feature: Planned changes cut no request

  Scenario Outline: A process is asked to end under load
    Given a fleet under load
    When <host> is terminated
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
    When engine-0 is listed as leaving
    Then engine-0 gets no new work after a few seconds
    When the load ends
    Then nothing of the load was cut
    And every promise was kept
