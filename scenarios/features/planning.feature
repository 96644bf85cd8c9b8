Feature: What the product plans by itself does no harm

  Scenario Outline: The planner changes roles and its holder is lost
    Given a fleet that plans, with 3 engines for each phase
    When prompts grow long
    And the planner has ordered a change
    And the entry that plans roles is <lost>
    Then entry-0 answers
    And entry-1 answers
    And every engine takes its newest order
    When the load ends
    Then both phases stayed live in two failure domains
    And every promise was kept

    Examples:
      | lost                                 |
      | paused until another does so instead |
      | killed and started again             |

  Scenario: The planner orders endpoints and its holder is lost
    Given a fleet that plans, with 4 engines and purchases held back
    When prompts grow long
    And the entry with most duties is paused until others hold them
    And calls of the other entries are let through
    And calls of the paused entry are let through
    And the planner has ordered endpoints
    And the paused entry goes on
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every promise was kept
