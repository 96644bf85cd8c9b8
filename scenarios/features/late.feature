Feature: Calls delayed by the network do no harm when they arrive

  Scenario Outline: Purchases are held back until others have the duties
    Given a fleet with planning enabled, with endpoints that <fencing> and purchases held back
    And it is under load
    When the entry with most duties is paused until others hold them
    And held calls of the other entries are released
    Then endpoints were purchased
    When held calls of the paused entry are released
    Then 1 call arrives with an outdated fencing token
    When the paused entry resumes
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every invariant holds
    And bills are complete

    Examples:
      | fencing               |
      | check fencing tokens  |
      | ignore fencing tokens |

  Scenario: Usage reports are held back until another has the duty
    Given a fleet under load
    When usage reports are held back
    And the entry that reports usage is paused until another does
    And held calls of the other entries are released
    Then 8 more reports arrive
    When held calls of the paused entry are released
    Then 1 call arrives with an outdated fencing token
    When the paused entry resumes
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every invariant holds
    And bills are complete

  Scenario Outline: An order to an engine is held back until a newer one is committed
    Given a fleet with endpoints that <fencing>
    And it is under load
    When the next order to engine-0 is held back
    And engine-0 is ordered to decode
    And an order is waiting for engine-0
    And engine-0 is killed
    And a later holder orders engine-0 to prefill
    And engine-0 is started again
    Then engine-0 applies the newest order
    When the held order to engine-0 is released
    Then engine-0 refuses it or is corrected
    When the load ends
    Then every invariant holds

    Examples:
      | fencing               |
      | check fencing tokens  |
      | ignore fencing tokens |
