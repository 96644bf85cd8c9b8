Feature: A caller gets the whole answer to its own request

  Scenario: A link goes silent for good while a stream runs
    Given a fleet
    When russo begins a stream over entry-0
    And open links to every engine fall silent
    Then the stream is answered whole
    And every promise was kept

  Scenario: Links are cut while answers run
    Given a fleet under load
    When open links to every engine are cut
    And open links to every engine are cut
    And the load ends
    Then nothing of the load was cut
    And every promise was kept

  Scenario: An entry is killed in the midst of a stream and of a bill
    Given a fleet
    When russo begins a stream over entry-0
    And entry-0 is killed
    And entry-0 is started again
    Then the stream was cut
    And entry-0 answers
    And every promise was kept

  Scenario: An agent is killed in the midst of a stream and of a bill
    Given a fleet
    When russo begins a stream over entry-0
    And the agent of the stream is killed and started again
    Then the stream is answered whole
    And the stream ran once
    And bills are complete

  Scenario: An agent is killed in the midst of a reply and stays away
    Given a fleet
    When russo begins a reply over entry-0
    And the reply has begun to run
    And the agent of the reply is killed
    Then the reply is answered whole
    And every promise was kept

  Scenario: An agent is paused and goes on
    Given a fleet
    When russo begins a stream over entry-0
    And every engine's agent is paused for 4 s
    Then the stream is answered whole or refused
    And every promise was kept
