Feature: A process without a valid lease has no effect

  Scenario Outline: A holder of duties is paused past its leases
    Given a fleet with planning enabled, with endpoints that <fencing>
    And it is under load
    When the endpoint interface is down
    And the entry with most duties is paused until others hold them
    And the platform recovers
    And the paused entry resumes
    Then entry-0 answers
    And entry-1 answers
    And endpoints were purchased
    When the load ends
    Then every invariant holds
    And bills are complete

    Examples:
      | fencing               |
      | check fencing tokens  |
      | ignore fencing tokens |

  Scenario: A holder of duties is paused while the store loses answers
    Given a fleet with planning enabled, with endpoints that ignore fencing tokens
    And it is under load
    When the platform loses all answers
    And the platform recovers
    And the entry with most duties is paused until others hold them
    And the platform loses all answers
    And the paused entry resumes
    And the platform recovers
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every invariant holds
    And bills are complete

  Scenario Outline: An engine crashes during a role change
    Given a fleet with endpoints that <fencing>
    And it is under load
    When engine-0 crashes at its next order
    And engine-0 is ordered to decode
    And the endpoint of engine-0 is started again
    Then engine-0 applies the newest order
    When the load ends
    Then every invariant holds

    Examples:
      | fencing               |
      | check fencing tokens  |
      | ignore fencing tokens |

  Scenario Outline: An agent is killed while orders come one after another
    Given a fleet with endpoints that <fencing>
    And it is under load
    When engine-0 is ordered to decode
    And engine-0 is killed
    And engine-0 is ordered to prefill
    And engine-0 is started again
    And engine-0 is ordered to both
    Then engine-0 applies the newest order
    When the load ends
    Then every invariant holds

    Examples:
      | fencing               |
      | check fencing tokens  |
      | ignore fencing tokens |
