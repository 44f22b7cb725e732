// Constants that determine the behaviour of the system. Durations of type Millis are in milliseconds; other units are part
// of the name or stated beside it.
#pragma once

#include "state/types.h"

namespace roserail::tunables
{

// Consensus
constexpr Millis RaftTick{20};
constexpr Millis HeartbeatInterval{60};
constexpr Millis ElectionTimeoutMin{500};
constexpr Millis ElectionTimeoutMax{900};
// After a restart, of the replica that sent the latest orders to endpoints; its first candidacies are refused, until the others may vote.
constexpr Millis PreferredElectionTimeout{100};
constexpr Millis ClockDriftMargin{50}; // a lease ends this long before another leader can be elected
constexpr Millis LeaderLease = ElectionTimeoutMin - ClockDriftMargin;
constexpr size_t MaxEntriesPerAppend = 512;
constexpr size_t MaxBytesPerAppend = 256u << 10; // unless a single entry is larger; 20 ms of a link of 100 Mbit/s
constexpr size_t MaxSmallAppendBytes = 32u << 10; // larger ones are sent apart from heartbeats, which they would delay
constexpr size_t MaxBytesInFlight = 256u << 10; // to one replica, unless a single entry is larger
constexpr Millis MessageTimeout{400}; // of a message; below the time without a heartbeat after which a replica stands for election
constexpr size_t MinSendBytesPerMs = 1000; // a larger message has more time; six receivers share a link of 100 Mbit/s
constexpr uint64_t SnapshotEveryEntries = 20000;
constexpr uint64_t SnapshotEveryBytes = 4u << 20; // of the log; the largest document, and a sixteenth of the smallest disk
constexpr uint64_t LearnerPromotionMaxLag = 64; // entries; a learner at most this far behind the leader is promoted to voter
constexpr size_t MaxProposalsInFlight = 8192;

// Replicated records
constexpr Millis IdempotencyKeyMaxAge = std::chrono::hours(24); // requests with older keys are refused
constexpr Millis IdempotencyKeyMaxSkew = std::chrono::minutes(5); // keys dated further in the future are refused
constexpr size_t MaxStoredAnswerBytes = 64u << 10; // the body of a larger answer is not stored
constexpr size_t MaxChangeRecords = 10000;
constexpr Millis QuarantineDuration = std::chrono::minutes(10);
constexpr uint32_t QuarantineCrashThreshold = 2; // endpoints lost while they ran a request
// Crashes after which general routes refuse a request, as a crash can't be attributed to one of the requests that ran.
// A request may cause at most 3.
constexpr size_t RefusalCrashThreshold = 3;
constexpr size_t MaxCrashReportsPerRouter = 32; // one router may have sent half of an engine's batch of 64 to an engine that crashed
constexpr size_t MaxDocumentBytes = 4u << 20;

// Router sessions
constexpr Millis RouterHeartbeatInterval{250};
constexpr Millis RouterLease{3000};
constexpr Millis AddressListTtl{5000}; // callers may cache the list of router addresses for this long
constexpr Millis ControlCallTimeout{1000};
constexpr Millis RouterCommandTimeout{2500}; // to commit a claim or a crash report

// Planned stops
constexpr Millis StopExitMargin{300}; // of the grace period, so that the process exits before it is killed
constexpr Millis StopAnswerMargin{200}; // before the exit, in which callers read the last answers
constexpr Millis StopFinishTime{700}; // from the end of listening to the exit: idle connections are found and closed
constexpr Millis StopPollInterval{20};
constexpr Millis ControlDrainTime{200}; // until answers that were begun before the signal have been written
constexpr Millis KeeperExitMargin{500}; // of the grace period, for the internal protocol and the threads of a control host to end
constexpr Millis RouterGrace = std::chrono::seconds(60); // twice DefaultDeadline; init systems kill after 90 s
constexpr Millis RouterStopAnswerTime{3000}; // before the end of the grace period: two probes of an endpoint, and a stored outcome
constexpr Millis MinRouterGrace = RouterLease + AddressListTtl + RouterStopAnswerTime;

// Endpoints
constexpr Millis EndpointReportTimeout{3000}; // an endpoint without a report for this long leaves the directory
constexpr Millis OrderTimeout{2000};
constexpr Millis OrderRetryDelay{1000};
constexpr Millis ConnectTimeout{500};
constexpr Millis StreamIdleTimeout{5000}; // endpoints send a comment at least once a second
constexpr Millis StreamHeartbeatInterval{1000};

// Membership and live state of systems whose control hosts are discovered through seeds
constexpr Millis TombstoneRetention = std::chrono::seconds(60); // of gone and lost entries; exceeds expected outages of a router
constexpr Millis EndpointLivenessTimeout{9000}; // heartbeats are sent every 1.2 s and may arrive seconds late
constexpr Millis RouterLivenessTimeout{5000}; // twice LivenessRelayInterval, plus the propagation time
constexpr Millis LivenessRelayInterval{2000}; // for unchanged entries, to control hosts that do not issue orders
constexpr Millis KeeperLivenessTimeout{15000}; // without a newer state, a control host is no longer a peer to share with
constexpr Millis KeeperStateMaxAge{4000}; // four announcements; routers are referred only to control hosts with a newer state
// Control hosts whose configuration was last known to be the newest longer ago serve no routers. Covers an election; leaves a
// router 0.5 s to find another host before it must apply a new configuration.
constexpr Millis MaxControlStateAge{2000};
constexpr Millis KeeperAnnounceInterval{1000}; // of the state of a control host to its peers
constexpr Millis BootstrapDiscoveryTime{1000}; // to discover control hosts with a data folder, if no seed has one
constexpr Millis SyncInterval{250}; // a change reaches every router well within 1 s, the permitted delay
constexpr Millis SyncIntervalWhileWaiting{40}; // while requests wait for a model to be loaded
constexpr double MaxPollsPerControlHost = 300; // a second; in a large system routers poll less often while requests wait
constexpr Millis NearestHostRetryInterval{10000}; // a router connected to a distant control host tries the nearest one again
// Known to a router though no other host has named it since; exceeds splits of the core and the time in which hosts are replaced.
constexpr Millis ControlHostRetention = std::chrono::minutes(1);
constexpr size_t MaxKnownControlHosts = 16; // seven with a disk tolerate three losses; each replaced one stays for a minute
// Of an update of the configuration in one message. 60 routers that fetch it over one link of 100 Mbit/s receive it in 240 ms.
constexpr size_t MaxConfigurationPieceBytes = 48u << 10;
constexpr double MaxReplyBytesPerSecond = 8e6; // of one control host to routers; two thirds of a link of 100 Mbit/s
constexpr Millis MaxReplyBacklog{100}; // behind which a control host still sends large replies; a heartbeat may wait as long
// The same for configurations, which must not wait for other changes; half of the time without a heartbeat that a follower bears.
constexpr Millis MaxConfigurationBacklog{250};
constexpr size_t MaxUnlimitedReplyBytes = 4096; // smaller changes are sent at once; 300 polls a second carry 1.2 MB
constexpr Millis SyncRetryInterval{100}; // of a router, while no control host that it knows serves it
constexpr Millis ListTimeout{2000}; // of a poll that brings a whole list: 2.5 MB on a link of 10 Mbit/s
constexpr Millis SyncTimeout{600}; // a round trip takes 3 ms; after a time-out another control host is asked
constexpr Millis ShareTimeout{600};
constexpr size_t MaxMessageSenders = 4096; // whose clocks are compared with the own one; several times the hosts of a large system
constexpr int64_t MaxClockMillis = 1ll << 52; // of a monotonic clock that a message states; more is no time
constexpr Millis MaxShareInterval{1000}; // without changes, to detect that the peer has restarted
constexpr Millis ShareBatchDelay{15}; // combines changes into one message; less than half of SyncIntervalWhileWaiting
constexpr Millis ShareRetryDelay{200};
constexpr Millis ConfigurationLagLimit{300}; // the log delivers a configuration within two heartbeats of the leader

// Requests on general routes
constexpr uint32_t MaxSendsPerRequest = 3; // endpoints tried, including those that refused the request
constexpr Millis ColdFirstEventTime{
    1000}; // from a model's load to the first event in a full batch; kept free before the caller's time limit
constexpr Millis RefusalMemory{10000}; // refusals within this time count as demand for a model; about a load from the weight store
constexpr size_t MaxRefusalsPerArtifact = 64; // at one router
constexpr Millis OverdueLoadTolerance{5000}; // a load that ends later than expected is still assumed to end
constexpr Millis ColdLoadOverhead{300}; // an unload before a load, and the propagation of both to the router
constexpr Millis ColdRetryJitter{500}; // refused callers retry spread over this time, in which the engines together load about 6 models
constexpr double ColdWaitShare = 0.6; // of a caller's time limit; a longer limit leaves all but ColdFirstEventTime for the load
constexpr Millis MaxConfigurationWait{800}; // of a request at a router that has just started; covers the election of a leader
constexpr double ConfigurationWaitShare = 0.3; // of the caller's time limit, so that the caller can still retry on another host
constexpr Millis RetryAfterBusy{1000}; // about the time of a load from a copy, after which the model may be available
constexpr Millis EndpointConnectTimeout{500}; // a handshake takes 4 ms; a lost packet is retransmitted within this time
constexpr Millis CrashConfirmTime{100}; // in which a process that is ending closes a connection it still accepted
constexpr size_t CrashComparisonEndpoints = 3; // one that can be connected to shows that this host is not cut from all
constexpr int CrashCheckConnections = 3; // opened to find out whether a process has ended
constexpr Millis ResolveTtl{1500}; // some callers cache an answer for three times as long; a drain waits for them
constexpr size_t MinZoneAddresses = 2; // if an availability zone has fewer routers, its callers get those of all zones

// Load balancing; costs are in milliseconds of time to first token
constexpr Millis LoadObservationTtl{1500}; // of the load that an answer of an endpoint reported
constexpr Millis EndpointUseTtl{1500}; // of the requests in progress at a router, or at the routers of a control host; several polls
constexpr Millis EndpointUseDelay{250}; // of what a router learns of other routers' requests: half a poll on either side
constexpr Millis EndpointUseInterval{150}; // at least between two messages with them to another control host
constexpr Millis AccountUseInterval{300}; // the same for the requests of client accounts, which take more bytes
constexpr double ShareTolerance = 2; // standard deviations by which an account may exceed its share by chance
constexpr uint32_t MinSlotTimes = 5; // answers after which the mean time for which requests use a slot is known
constexpr double MaxSharedSlowdown = 100; // an endpoint that is slower is not chosen anyway
constexpr uint32_t MaxEndpointUse = 100000; // of one router, on one endpoint; a router has fewer descriptors
constexpr Millis SlowdownTtl{400}; // of what an endpoint said about the time that work takes, which changes several times a second
constexpr Millis SlowdownReportTime{150}; // in which it is passed on to other routers, so that it is still new there
constexpr double SpeedEwmaWeight = 0.05; // of the newest sample, in averages over the endpoints of a service
constexpr double MaxServiceCostMs
    = 50; // of the time that a request takes itself; more than that is a stream, which counts by its first event
constexpr size_t SampledEndpoints = 3; // of those that can serve a request, whose costs a router compares
constexpr double PrefillTokensPerMs = 38; // of one engine
constexpr double CrossZoneRoundTripMs = 3; // between availability zones
constexpr uint64_t PreferredEndpoints = 4; // of equal cost, that one router uses for a model: few enough to keep their connections open
constexpr double FullBatchCostMs = 60; // added to the time to first token by a full batch
constexpr double QueuedRequestCostMs = 30; // of each request that waits for a slot
constexpr double FailedEndpointCostMs = 5000; // more than the cost of any endpoint without a failure
constexpr size_t MaxRelaysPerRequest = 2; // routers that a request is passed to, if the first can't be connected to
constexpr size_t MaxRelayedRequests = 256; // of other routers at one router; a host of 0.12 cores relays some 100 streams
constexpr Millis ReachabilityProbeInterval{1000}; // of an endpoint that could not be connected to
constexpr Millis ReachabilitySweepInterval{2000}; // endpoints connected to within this time before a failure are not probed for it
constexpr Millis ReachabilityCheckInterval{100}; // for due probes
constexpr double UnreachableEndpointCostMs = 20000; // chosen only if there is no other, and no router that reaches one
constexpr Millis EndpointFailureCooldown{1000}; // after a failure an endpoint is chosen only if there is no other
constexpr Millis MaxEndpointPause = std::chrono::minutes(10); // asked for in an answer; a longer one is taken for a mistake
constexpr Millis LeavingRetention = std::chrono::hours(1); // exceeds the time for which a leaving endpoint goes on serving
constexpr Millis LeavingReportTime{30000}; // then the endpoint's own heartbeats say so
// Without an answer of the endpoint for this long, its limit may have ended, and each router may find out.
constexpr Millis CapacityConfirmTime{10000};
constexpr Millis CapacityRetention = std::chrono::minutes(2); // exceeds the time for which an endpoint is in need
constexpr Millis CapacityReportTime{10000}; // several polls, also of a router that is cut off for some seconds
constexpr Millis CapacityRelayInterval{3000}; // of an unchanged capacity, to all routers; well within CapacityConfirmTime
constexpr Millis BrittleRefusalPause{1000}; // after a refusal; a brittle endpoint counts its refusals in a second
constexpr Millis BrittlePauseJitter{500}; // so that the routers do not resume at the same moment
constexpr Millis RefusalReportInterval{300}; // within which routers need not know of another refusal
constexpr Millis BrittleSlotWait{20}; // until a request that waits for a slot of a brittle endpoint tries again
constexpr double RoutersPerLimitedRequest = 2; // routers that share a limit, for each request a second of it
constexpr size_t MinRoutersSharingLimit = 3; // and this many more: their simultaneous requests stay below the tolerated excess
constexpr Millis ModelNotHeldCooldown{300}; // until the contents of the endpoint are reported again
constexpr size_t MaxPromptPartsPerEndpoint = 20000; // 40 bytes each; above it, expired parts are removed
constexpr Millis PromptPartTtl{20000}; // about the time in which an engine's cache is replaced

// Placement of models on engines that accept conditional orders
constexpr Millis MaxReportLag{300}; // engines report a state that is some hundred ms old
constexpr Millis MinReportInterval{400}; // of one engine; a report is as expensive as a health check
constexpr Millis MaxHeartbeatDelay{1500}; // a heartbeat received within this time after an order was executed may not reflect it
constexpr Millis OrderDeliveryMargin{500}; // an order sent at the end of a lease arrives within this time
// Of the first orders of a leader that sent the latest ones as well; in this time the endpoints' heartbeats say what they hold.
constexpr Millis OrderResumeDelay{1500};
constexpr Millis ConfigurationCommitTimeout{3000}; // operators retry on another control host after 1 s
constexpr Millis StoreRateWindow{5000}; // the weight store's rate limit holds in every window of this length
constexpr Millis ReservationTtl{4000}; // of an engine for a model; covers an unload, which waits for the last requests on the engine
constexpr Millis UnloadTimeEstimate{2000}; // an unload waits for the requests that run, which last 1.6 s on average
constexpr Millis AdapterPrefetchWindow{5000}; // adapters of models used within this time are prefetched
// Share of its holders' slots in use above which a model gets another holder, because gaps between stream events approach
// their target.
constexpr double ScaleUpSlotShare = 0.35;
constexpr Millis ExcessRequestWait{1000}; // weight of each request above ScaleUpSlotShare; about the delay in a full batch
// Share of the other holders' slots in use below which one holder may unload the model.
constexpr double ScaleDownSlotShare = 0.25;
constexpr double LimitedEngineCostMs = 10000; // of a load on an engine with a limit: more than that of any load elsewhere
constexpr double IdleUnloadCostMs = 50; // of the unload of an idle model
constexpr double BusyVictimCostMs = 1500; // about the time until the last request on the engine ends
constexpr double RecentVictimCostMs = 800; // of the reload if the model is requested again at once
constexpr Millis VictimRecencyWindow{20000}; // a model idle for longer has no reload cost

// Placement of replicas, and how long idle ones are kept
constexpr Millis PlacementInterval{50};
constexpr size_t MaxStoreLoadsInFlight = 4; // at first; the leader learns how many the weight store serves at full speed
constexpr size_t MaxLearnedStoreLoads = 8;
constexpr double SlowStoreLoadRatio = 1.15; // of the time of a load to its nominal time, above which the store was shared by too many
constexpr size_t MaxAdapterLoadsInFlight = 32;
constexpr Millis AdapterLoadTime{10};
constexpr double MemoryTierLoadFactor = 0.05; // of the time of a load from the weight store
constexpr double DiskTierLoadFactor = 0.3; // of the time of a load from the weight store
constexpr double IdleSecondsPerColdStartSecond = 5; // idle seconds that cost as much as 1 s of cold start, at equal weights
constexpr size_t KeepWarmMaxSamples = 32; // idle periods, per artifact
constexpr size_t KeepWarmMinSamples = 4; // with fewer, the break-even time is used
constexpr Millis KeepWarmMinIdlePeriod{500}; // shorter ones are not sampled
constexpr uint32_t RequestsPerReplica = 8; // waiting and running requests that justify one replica

// Admission
constexpr size_t QueueShards = 16;
constexpr size_t MaxQueuedPerArtifact = 512;
constexpr size_t MaxQueuedPerCaller = 128;
constexpr Millis DefaultDeadline = std::chrono::seconds(30);
constexpr Millis MaxDeadline = std::chrono::hours(12);
constexpr Millis QueueTick{10};
constexpr Millis MinRetryAfter{1000};
constexpr Millis LoadEstimateTtl{500}; // of the leader's estimate of when a load completes
constexpr Millis RefusalCooldown{100}; // an endpoint that refused an artifact is not chosen for it during this time
constexpr int MaxAttemptsPerRequest = 3;
constexpr double MaxOvernightShare = 0.75; // of an endpoint's capacity
constexpr double ServiceTimeEwmaWeight = 0.2; // of the newest sample in the exponentially weighted moving average
constexpr double RequiredServiceTimeShare = 0.5; // of the average service time; a request with less time before its deadline is refused
constexpr uint32_t PrefixAffinitySlack = 2; // running requests by which the endpoint with a cached prefix may exceed the least loaded one
constexpr double RetryBudgetRatio = 0.1; // retries per request
constexpr double RetryBudgetBurst = 10;

// Quotas of client accounts
constexpr Millis MaxQuotaGrantAge{2000}; // longer than most requests wait for an endpoint
constexpr Millis MaxQuotaPause{200}; // of a router that was denied units; bounds the refusals after an account is back in its limit
constexpr Millis MaxQuotaRetryTime{30000}; // callers do not wait longer
constexpr size_t MaxQuotaAsksPerPause = 4; // all of 90 routers with 8 requests a second; bounds the messages of a flood
constexpr double QuotaPlacesShare = 0.5; // of an account's rate, for those that come back; new requests get the other half in time
constexpr Millis QuotaPlaceGrace{500}; // in which a place is kept: a new connection, and a lost packet
constexpr double MaxRetryAfterShare = 0.32; // of the time that a caller has left; callers come back after a third of it at the latest
constexpr Millis QuotaLaterInterval{100}; // after which a router asks a new leader again
constexpr Millis QuotaRefillInterval{300}; // between two messages of a router that only refill stocks
constexpr Millis QuotaCallTimeout{300}; // a round trip takes 3 ms; after a time-out another control host is asked
constexpr Millis QuotaRetryInterval{50}; // between calls while the leader is not known
constexpr Millis QuotaSuspectTime{1000}; // in which a leader that did not answer is asked only if no other is named; covers an election
constexpr Millis QuotaStockConfirmTime{5000}; // from the last list of routers; covers a restart of a control host
constexpr double QuotaRoutersMargin = 1.1; // those that join while a list is on its way

// Logs
constexpr double LogLinesPerSecond = 200; // per process; 10 times the rate of a router with some 7 requests/s and 3 lines for each
constexpr double LogLinesBurst = 1000; // a change of leader or a burst of callers, over some seconds

// Loops
constexpr Millis LoopRetryDelay{100}; // after an iteration that threw; a fault that repeats takes a twentieth of LogLinesPerSecond

// What a process may use of its host
constexpr Bytes DefaultMemory = 160'000'000; // without a setting; of the smallest hosts with a disk
constexpr Bytes MinMemory = 64'000'000; // a body of the default limit still has room, sent in chunks
constexpr uint32_t DefaultDescriptors = 4096; // without a setting
constexpr uint32_t MinDescriptors = 128;
constexpr uint32_t MaxDescriptors = 1u << 20;
// Shares of the memory; an idle process, the tables and the allocator have the rest.
constexpr double BuffersMemoryShare = 0.62; // of buffers of all purposes together; the largest message has room beside small ones
constexpr double HeadsMemoryShare = 0.06;
constexpr double BodiesMemoryShare = 0.18;
constexpr double AnswersMemoryShare = 0.2;
constexpr double MessageMemoryShare = 0.25; // of one message of the internal protocol: a snapshot, or a whole list
constexpr double SocketsMemoryShare = 0.3; // of bytes that have arrived and have not been read
constexpr size_t MinUnreadBytes = 8u << 10; // of each connection; an ordinary request arrives in one or two round trips
constexpr size_t MinUnsentBytes = 32u << 10; // of each connection of a caller; more is kept in the process and counted there
constexpr size_t MaxUnreadBytes = 256u << 10; // of one connection
constexpr size_t SocketBufferParts = 32; // of what is left, one for a new connection
// Of calls beside the largest message, and as much again for connections whose calls hold SmallBufferBytes at most.
constexpr double SmallCallsMemoryShare = 0.05;
constexpr size_t CopiesOfMessage = 2; // as it arrives, and decoded
constexpr size_t CallBytes = 16u << 10; // of a call without its messages
constexpr Millis ResetCallTime{1000}; // for the handler of a call to end after its caller has reset it
constexpr size_t SmallBufferBytes = 64u << 10; // of an ordinary request or answer
constexpr double SmallBufferReserve = 0.25; // of a share, that large buffers may not use
// Shares of the descriptors; endpoints, control hosts and files have the rest.
constexpr double CallersDescriptorShare = 0.4;
constexpr double RelayDescriptorShare = 0.15;
constexpr double DirectoryDescriptorShare = 0.1;
constexpr double MonitoringDescriptorShare = 0.05; // of readiness checks and metrics
// Below this rate, from TransferGrace on, a caller may be broken off. A body of the default limit takes idleTimeout at 280 bytes a ms.
constexpr double MinTransferBytesPerMs = 8;
constexpr Millis TransferGrace{2000}; // exceeds the retransmission of a lost packet
constexpr size_t IdleBufferBytes = 4096; // of a connection's input, that it keeps while it is idle
constexpr size_t BodyReadBytes = 16u << 10; // of a body, in one read
constexpr Millis IngressReviewInterval{1000}; // of metrics and of memory to be given back
constexpr size_t MinTrimBytes = 8u << 20; // released since the last time, for which the allocator gives memory back

// HTTP
constexpr size_t MaxBodyBytes = 8u << 20;
constexpr size_t MaxEventBytes = 1u << 20; // of one event of a stream
constexpr size_t RouterHttpThreads = 512;
constexpr size_t ControlHttpThreads = 32;
constexpr Millis HttpIoTimeout = std::chrono::seconds(10);
constexpr Millis RequestReadTimeout = std::chrono::seconds(15); // of a whole request; a body of MaxBodyBytes at 560 bytes a ms
constexpr size_t MaxRequestHeadBytes = 64u << 10; // the usual limit of servers and proxies is 8 to 64 KiB
constexpr size_t BlockingReadBytes = 16u << 10; // of an answer, in one read

// Connections of general routes
constexpr int ListenBacklog = 1024; // connections of one burst
constexpr int TcpKeepAliveIdleSeconds = 2; // an unresponsive peer is detected after TcpUserTimeout, which ends the probes as well
constexpr int TcpKeepAliveIntervalSeconds = 1;
constexpr int TcpKeepAliveProbes = 3;
constexpr Millis TcpUserTimeout{4000}; // for unacknowledged data; longer than most disturbances of a link
constexpr Millis AcceptRetryDelay{50}; // after a failed accept, mostly for lack of file descriptors
constexpr Millis LingeringCloseTimeout{1000}; // for the caller to read the last answer
constexpr size_t MaxLingeringBytes = 4u << 20; // discarded meanwhile; a body of the default limit
constexpr Millis ConnectionSweepInterval{250}; // precision of idle and header timeouts
constexpr Millis FinishIdleTimeout{200}; // once a server has stopped listening; requests that are on their way are still read
constexpr Millis EndpointIdleTimeout{10000}; // of a pooled connection whose endpoint sends no Keep-Alive header
constexpr Millis EndpointIdleTimeoutMargin{500}; // a pooled connection is closed this long before the endpoint closes it
constexpr uint32_t MaxAnswerHeaderBytes = 64u << 10; // the usual limit of servers and proxies is 8 to 64 KiB
constexpr size_t MaxUnparsedBytes = 128u << 10; // on one connection; more than a head and one read
// An answer that is not a stream is buffered until it is complete. The limit is twice the default limit of a request's body.
constexpr size_t MaxBufferedAnswerBytes = 8u << 20;
constexpr size_t MaxReportBytes = 1u << 20; // of an endpoint's heartbeat or report; some 100 bytes for each model
constexpr Millis StreamVersionRetention = std::chrono::minutes(1); // exceeds the longest stream and its caller's retries
// For a new software version to be listed in the replicated log before a stream begins there; covers an election.
constexpr Millis UnrecordedSoftwareWait{2000};
// Of what a router knows of the endpoints' processes: if it is older, a process is asked before it continues a stream. Four polls.
constexpr Millis MaxUncheckedAge{1000};
constexpr size_t MaxStreamVersions = 8192; // some 100 bytes each
constexpr size_t MaxRecordedStreams = 32768; // of all routers: a minute of 300 routers; 0.3 MB of a snapshot
constexpr Millis StreamReportTime{
    5000}; // of the beginning of a stream to the control hosts; several polls, also of a router cut off for seconds
constexpr size_t MaxStreamsPerReport = 256; // 8 bytes each
constexpr size_t MaxWantedStreams = 64; // in one poll
constexpr int MaxSkippedAnswers = 2; // late answers to earlier requests, on one connection
constexpr int MaxInterimAnswers = 8; // to one request
constexpr size_t MaxFailedRequestsPerConnection = 64; // 8 bytes each; then a new connection is opened
constexpr size_t MaxCountedAccounts = 64; // whose requests have metrics of their own; some 300 bytes an outcome each
constexpr size_t MaxIdleConnectionsPerEndpoint = 64; // the batch size of one engine

} // namespace roserail::tunables
