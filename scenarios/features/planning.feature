Feature: Automatic planning does no harm

  Scenario Outline: The planner changes roles and its holder is lost
    Given a fleet with planning enabled, with 3 engines for each phase
    When prompts become long
    And the planner has ordered a change
    And the entry that plans roles is <lost>
    Then entry-0 answers
    And entry-1 answers
    And every engine applies its newest order
    When the load ends
    Then both phases stayed live in two failure domains
    And every invariant holds

    Examples:
      | lost                                 |
      | paused until another does so instead |
      | killed and started again             |

  Scenario: The planner orders endpoints and its holder is lost
    Given a fleet with planning enabled, with 4 engines and purchases held back
    When prompts become long
    And the entry with most duties is paused until others hold them
    And held calls of the other entries are released
    And held calls of the paused entry are released
    And the planner has ordered endpoints
    And the paused entry resumes
    Then entry-0 answers
    And entry-1 answers
    When the load ends
    Then every invariant holds
