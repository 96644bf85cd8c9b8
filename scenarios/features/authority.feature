Feature: A process that lost its authority has no effect

  Scenario Outline: A holder of duties is paused past its leases
    Given a fleet that plans, with endpoints that <habit>
    And it is under load
    When the endpoint interface takes no orders
    And the entry with most duties is paused until others hold them
    And the platform is well again
    And the paused entry goes on
    Then entry-0 answers
    And entry-1 answers
    And endpoints were bought
    When the load ends
    Then every promise was kept
    And bills are complete

    Examples:
      | habit                  |
      | check fencing numbers  |
      | ignore fencing numbers |

  Scenario: A holder of duties is paused while the store loses answers
    Given a fleet that plans, with endpoints that ignore fencing numbers
    And it is under load
    When the platform loses all answers
    And the platform is well again
    And the entry with most duties is paused until others hold them
    And the platform loses all answers
    And the paused entry goes on
    And the platform is well again
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every promise was kept
    And bills are complete

  Scenario Outline: An engine crashes in the midst of a role change
    Given a fleet with endpoints that <habit>
    And it is under load
    When engine-0 crashes at its next order
    And engine-0 is ordered to decode
    And the endpoint of engine-0 is started again
    Then engine-0 takes the newest order
    When the load ends
    Then every promise was kept

    Examples:
      | habit                  |
      | check fencing numbers  |
      | ignore fencing numbers |

  Scenario Outline: An agent is killed while orders come one after another
    Given a fleet with endpoints that <habit>
    And it is under load
    When engine-0 is ordered to decode
    And engine-0 is killed
    And engine-0 is ordered to prefill
    And engine-0 is started again
    And engine-0 is ordered to both
    Then engine-0 takes the newest order
    When the load ends
    Then every promise was kept

    Examples:
      | habit                  |
      | check fencing numbers  |
      | ignore fencing numbers |
