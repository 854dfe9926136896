Feature: Who may do what
  Only hosts with a certificate of the fleet's authority may join, and only accounts with a key may
  call.

  Scenario: A fleet runs over TLS and refuses strangers
    Guards against plain text on links, hosts without the fleet's certificate and callers without a key.
    Given a fleet of 2 entry hosts and 1 runner with certificates
    Then a caller with a key gets a whole answer over HTTPS
    And a caller with a key gets a whole streamed answer over HTTPS
    And these requests are refused
      | authorization      | status | kind            |
      |                    | 401    | unauthenticated |
      | Bearer wrong       | 401    | unauthenticated |
      | Basic c2Fsb246eA== | 401    | unauthenticated |
    And a link without a certificate is closed before any message
    And a link with a certificate of another authority is closed before any message
    And a link whose certificate the authority signed receives a hello
    When the certificate of the callers' listener is replaced
    Then new connections see the new certificate within 5 s without a restart
    # Guards against heartbeats that stop because a file cannot be read.
    When the key of the callers' listener cannot be read
    Then the entry host logs "certificate_refused" and its links stay up

  Scenario: Messages are bound to the sender's role
    Guards against an agent that acts as an entry host.
    Given a link manager that takes calls from entry hosts only
    When a peer of role "backend" sends a call
    Then the call is dropped and logged as refused
    When a peer of role "entry" sends a call
    Then the call arrives
