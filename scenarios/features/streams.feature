Feature: A caller gets the complete answer to its own request

  Scenario: A link stops delivering data for good during a stream
    Given a fleet
    When russo starts a stream through entry-0
    And open links to every engine drop all data
    Then the stream is answered completely
    And every invariant holds

  Scenario: Links are reset while answers are streamed
    Given a fleet under load
    When open links to every engine are reset
    And open links to every engine are reset
    And the load ends
    Then no request of the load was interrupted
    And every invariant holds

  Scenario: An entry is killed during a billed stream
    Given a fleet
    When russo starts a stream through entry-0
    And entry-0 is killed
    And entry-0 is started again
    Then the stream was interrupted
    And entry-0 answers
    And every invariant holds

  Scenario: An agent is killed during a billed stream
    Given a fleet
    When russo starts a stream through entry-0
    And the agent of the stream is killed and started again
    Then the stream is answered completely
    And the stream ran once
    And bills are complete

  Scenario: An agent is killed during a reply and stays away
    Given a fleet
    When russo starts a reply through entry-0
    And the reply has started to run
    And the agent of the reply is killed
    Then the reply is answered completely
    And every invariant holds

  Scenario: An agent is paused and resumes
    Given a fleet
    When russo starts a stream through entry-0
    And every engine's agent is paused for 4 s
    Then the stream is answered completely or refused
    And every invariant holds
