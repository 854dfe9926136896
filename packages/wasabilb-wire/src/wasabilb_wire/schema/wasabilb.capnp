@0xd1f7a3c9b2e64085;
# Messages between the processes of wasabilb. Field names match `wasabilb_wire.messages`.

struct Frame {
  union {
    hello @0 :Hello;
    ping @1 :Ping;
    ticketSummary @2 :TicketSummary;
    ticketWant @3 :TicketWant;
    ticketPush @4 :TicketPush;
    hostList @5 :HostList;
    report @6 :Report;
    call @7 :Call;
    cancel @8 :Cancel;
    credit @9 :Credit;
    head @10 :Head;
    data @11 :StreamData;
    end @12 :End;
    fail @13 :Fail;
    release @14 :Release;
    released @15 :Released;
    transferState @16 :TransferState;
    chunkWant @17 :ChunkWant;
    chunkData @18 :ChunkData;
    chunkNone @19 :ChunkNone;
    usage @20 :Usage;
    nodeBeat @21 :NodeBeat;
    publishedWant @22 :PublishedWant;
    published @23 :Published;
    runnerReport @24 :RunnerReport;
    sendNotice @25 :SendNotice;
    originAnswer @26 :OriginAnswer;
    limitNotice @27 :LimitNotice;
    crashNotice @28 :CrashNotice;
  }
}

struct Hello {
  protocol @0 :UInt16;
  host @1 :Text;
  role @2 :Text;
  region @3 :Text;
  failureDomain @4 :Text;
  incarnation @5 :UInt64;
  address @6 :Text;
  wallMs @7 :UInt64;
}

struct Ping {
  stateDigest @0 :UInt64;
  newest @1 :UInt64;
  wallMs @2 :UInt64;
  hlc @3 :UInt64;
  sentNow @4 :Float64;
}

struct TicketSummary {
  numbers @0 :List(UInt64);
}

struct TicketWant {
  numbers @0 :List(UInt64);
}

struct TicketPush {
  number @0 :UInt64;
  text @1 :Text;
  hlc @2 :UInt64;
  era @3 :UInt16;
}

struct HostList {
  asOf @0 :UInt64;
  leaving @1 :List(Text);
  gone @2 :List(Text);
  era @3 :UInt16;
  carried @4 :List(Text);
  returned @5 :List(Text);
  carriedEra @6 :UInt16;
  carriedAsOf @7 :UInt64;
}

struct Report {
  ready @0 :List(Text);
  services @1 :List(Text);
  slots @2 :UInt32;
  running @3 :UInt32;
  queued @4 :UInt32;
  waitMs @5 :UInt32;
  isLeaving @6 :Bool;
  newest @7 :UInt64;
  sentNow @8 :Float64;
  stateDigest @9 :UInt64;
  wallMs @10 :UInt64;
  hlc @11 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  id @0 :UInt64;
  requestId @1 :Text;
  traceparent @2 :Text;
  account @3 :Text;
  weight @4 :Float32;
  target @5 :Text;
  variant @6 :Text;
  method @7 :Text;
  path @8 :Text;
  headers @9 :List(Header);
  body @10 :Data;
  deadlineMs @11 :UInt32;
  priority @12 :UInt8;
  predictedTokens @13 :UInt32;
  resumeFrom @14 :UInt32;
  key @15 :Text;
  keyCreatedMs @16 :UInt64;
  generation @17 :UInt64;
  wallMs @18 :UInt64;
  credit @19 :UInt32;
  hlc @20 :UInt64;
  isFresh @21 :Bool;
  sentAfter @22 :Float64;
  waitedMs @23 :UInt32;
}

struct Cancel {
  id @0 :UInt64;
  isWithdrawal @1 :Bool;
}

struct Credit {
  id @0 :UInt64;
  bytes @1 :UInt32;
}

struct Head {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
  variant @3 :Text;
  hlc @4 :UInt64;
}

struct StreamData {
  id @0 :UInt64;
  position @1 :UInt32;
  count @2 :UInt32;
  payload @3 :Data;
}

struct End {
  id @0 :UInt64;
  position @1 :UInt32;
  finishReason @2 :Text;
  hlc @3 :UInt64;
}

struct Fail {
  id @0 :UInt64;
  kind @1 :Text;
  detail @2 :Text;
  outcome @3 :Text;
  retryAfterMs @4 :UInt32;
  crashMs @5 :UInt64;
}

struct Release {
  service @0 :Text;
  generation @1 :UInt64;
  host @2 :Text;
  incarnation @3 :UInt64;
  sentNow @4 :Float64;
  heldIncarnation @5 :UInt64;
}

struct KeyRecord {
  text @0 :Text;
  account @1 :Text;
  digest @2 :Text;
  hasTime @3 :Bool;
  createdMs @4 :UInt64;
  generation @5 :UInt64;
  state @6 :Text;
}

struct Released {
  service @0 :Text;
  generation @1 :UInt64;
  host @2 :Text;
  incarnation @3 :UInt64;
  toIncarnation @4 :UInt64;
  sentNow @5 :Float64;
  uptimeS @6 :Float64;
  hasRecords @7 :Bool;
  records @8 :List(KeyRecord);
  watermarkMs @9 :Int64;
  opaqueAgeS @10 :Float64;
}

struct TransferState {
  variant @0 :Text;
  manifest @1 :Text;
  held @2 :Data;
}

struct ChunkWant {
  manifest @0 :Text;
  index @1 :UInt32;
  offset @2 :UInt32;
}

struct ChunkData {
  manifest @0 :Text;
  index @1 :UInt32;
  offset @2 :UInt32;
  isLast @3 :Bool;
  payload @4 :Data;
}

struct ChunkNone {
  manifest @0 :Text;
  index @1 :UInt32;
}

struct AccountUsage {
  account @0 :Text;
  demand @1 :Float64;
  share @2 :Float64;
  given @3 :Float64;
  received @4 :Float64;
}

struct Usage {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  accounts @3 :List(AccountUsage);
}

struct EntryPlace {
  address @0 :Text;
  failureDomain @1 :Text;
  count @2 :UInt64;
}

struct NodeBeat {
  revision @0 :UInt64;
  entries @1 :List(EntryPlace);
  readsPlatform @2 :Bool;
  distrustMs @3 :UInt32;
  era @4 :UInt64;
}

struct PublishedWant {
  after @0 :UInt64;
  era @1 :UInt64;
}

struct PublishedItem {
  name @0 :Text;
  revision @1 :UInt64;
  isRemoved @2 :Bool;
  body @3 :Data;
  isPacked @4 :Bool;
  era @5 :UInt64;
}

struct Published {
  after @0 :UInt64;
  revision @1 :UInt64;
  items @2 :List(PublishedItem);
  distrustMs @3 :UInt32;
  era @4 :UInt64;
  afterEra @5 :UInt64;
  isLast @6 :Bool;
}

struct RunnerReport {
  runner @0 :Text;
  bornMs @1 :UInt64;
  model @2 :Text;
  version @3 :UInt32;
  layerFrom @4 :UInt16;
  layerTo @5 :UInt16;
  isBusy @6 :Bool;
  isReachable @7 :Bool;
  running @8 :UInt32;
  waiting @9 :UInt32;
  memoryUsed @10 :UInt64;
  memoryTotal @11 :UInt64;
  pace @12 :Float64;
  isEasing @13 :Bool;
  isSilent @14 :Bool;
}

struct SendNotice {
  runners @0 :List(Text);
  promptTokens @1 :List(UInt64);
}

struct OriginAnswer {
  variant @0 :Text;
}

struct PermitTransfer {
  name @0 :Text;
  permits @1 :Float64;
  wanted @2 :UInt32;
  held @3 :UInt32;
  hosts @4 :UInt32;
  demand @5 :Float64;
}

struct LimitNews {
  runner @0 :Text;
  bornMs @1 :UInt64;
  perS @2 :Float64;
  ageS @3 :Float64;
}

struct LimitNotice {
  transfers @0 :List(PermitTransfer);
  news @1 :List(LimitNews);
}

struct CrashReport {
  runner @0 :Text;
  bornMs @1 :UInt64;
  ageS @2 :Float64;
  started @3 :List(UInt64);
  waiting @4 :List(UInt64);
  probes @5 :List(UInt64);
  request @6 :UInt64;
  isStarted @7 :Bool;
  isWaiting @8 :Bool;
  isProbe @9 :Bool;
}

struct BlockedPart {
  part @0 :UInt64;
  ageS @1 :Float64;
  crashes @2 :UInt32;
  turn @3 :UInt32;
  companions @4 :List(UInt64);
}

struct CrashNotice {
  crashes @0 :List(CrashReport);
  blocked @1 :List(BlockedPart);
  cleared @2 :List(UInt64);
  probesBegun @3 :List(UInt64);
  probesEnded @4 :List(UInt64);
  blockedRequests @5 :List(BlockedPart);
  clearedRequests @6 :List(UInt64);
  requestProbesBegun @7 :List(UInt64);
  requestProbesEnded @8 :List(UInt64);
}
