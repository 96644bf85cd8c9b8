Feature: Planned changes interrupt no request

  Scenario Outline: A process is terminated under load
    Given a fleet under load
    And the shop takes 0.5 s for a call
    When russo starts 4 streams
    And <host> is terminated
    Then <host> ends with code 0
    When the load ends
    Then no request of the load was interrupted
    And every invariant holds
    And bills are complete

    Examples:
      | host     |
      | entry-0  |
      | engine-0 |
      | plain-2  |

  Scenario: An endpoint leaves under load
    Given a fleet under load
    When russo starts 4 streams
    And engine-0 is listed as leaving
    Then engine-0 gets no new work after a few seconds
    When the load ends
    Then no request of the load was interrupted
    And every invariant holds

  Scenario: Roles change under load
    Given a fleet under load
    When russo starts 4 streams
    And engine-0 is ordered to decode
    Then engine-0 applies the newest order
    When the load ends
    Then no request of the load was interrupted
    And every invariant holds
