Feature: What the network holds back does no harm when it arrives

  Scenario Outline: Purchases are held back until others have the duties
    Given a fleet that plans, with endpoints that <habit> and purchases held back
    And it is under load
    When the entry with most duties is paused until others hold them
    And calls of the other entries are let through
    Then endpoints were bought
    When calls of the paused entry are let through
    Then 1 call arrives too late
    When the paused entry goes on
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every promise was kept
    And bills are complete

    Examples:
      | habit                  |
      | check fencing numbers  |
      | ignore fencing numbers |

  Scenario: Usage reports are held back until another has the duty
    Given a fleet under load
    When usage reports are held back
    And the entry that reports usage is paused until another does
    And calls of the other entries are let through
    Then 8 more reports arrive
    When calls of the paused entry are let through
    Then 1 call arrives too late
    When the paused entry goes on
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every promise was kept
    And bills are complete

  Scenario Outline: An order to an engine is held back until another was given
    Given a fleet with endpoints that <habit>
    And it is under load
    When the next order to engine-0 is held back
    And engine-0 is ordered to decode
    And an order waits for engine-0
    And engine-0 is killed
    And a later holder orders engine-0 to prefill
    And engine-0 is started again
    Then engine-0 takes the newest order
    When the order that waits for engine-0 is let through
    Then engine-0 refuses it or is put right
    When the load ends
    Then every promise was kept

    Examples:
      | habit                  |
      | check fencing numbers  |
      | ignore fencing numbers |
