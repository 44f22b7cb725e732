// Every constant that changes how the system behaves, with its unit.
#pragma once

#include "state/types.h"

namespace roserail::tunables
{

// Consensus
constexpr Millis RaftTick{20};
constexpr Millis HeartbeatInterval{60};
constexpr Millis ElectionTimeoutMin{500};
constexpr Millis ElectionTimeoutMax{900};
constexpr Millis ClockDriftMargin{50}; // lease ends this much before another leader can exist
constexpr Millis LeaderLease = ElectionTimeoutMin - ClockDriftMargin;
constexpr size_t MaxEntriesPerAppend = 512;
constexpr size_t MaxBytesPerAppend = 4u << 20;
constexpr uint64_t SnapshotEveryEntries = 20000;
constexpr uint64_t LearnerPromotionMaxLag = 64; // a learner this close to the leader is promoted
constexpr size_t MaxProposalsInFlight = 8192;

// Replicated records
constexpr Millis IdempotencyKeyMaxAge = std::chrono::hours(24); // an older idempotency key is refused
constexpr Millis IdempotencyKeyMaxSkew = std::chrono::minutes(5);
constexpr size_t MaxStoredAnswerBytes = 64u << 10;
constexpr size_t MaxChangeRecords = 10000;
constexpr Millis QuarantineDuration = std::chrono::minutes(10);
constexpr uint32_t QuarantineCrashThreshold = 2;
constexpr size_t RefusalCrashThreshold = 3; // on general routes, where nothing confirms the blame; the most that the users allow
constexpr size_t MaxCrashReportsPerRouter = 32; // of one router; half of an engine's batch ran there when it crashed
constexpr size_t MaxDocumentBytes = 4u << 20;

// Router sessions
constexpr Millis RouterHeartbeatInterval{250};
constexpr Millis RouterLease{3000};
constexpr Millis AddressListTtl{5000}; // how long callers may keep the list of addresses
constexpr Millis ControlCallTimeout{1000};
constexpr Millis ClaimCallTimeout{2500};

// Endpoints
constexpr Millis EndpointReportTimeout{3000}; // without a report, an endpoint leaves the directory
constexpr Millis OrderTimeout{2000};
constexpr Millis OrderRetryDelay{1000};
constexpr Millis ConnectTimeout{500};
constexpr Millis StreamIdleTimeout{5000}; // endpoints send a comment at least every second
constexpr Millis StreamHeartbeatInterval{1000};

// Live state of systems that are found by seeds
constexpr Millis TombstoneRetention = std::chrono::seconds(60); // longer than any router is out of reach in the users' trials
constexpr Millis EndpointLivenessTimeout{9000}; // heartbeats come every 1.2 s and may be seconds late
constexpr Millis RouterLivenessTimeout{5000}; // two signs of life, and the time that they take
constexpr Millis LivenessRelayInterval{2000}; // of what doesn't change, to control hosts that don't order
constexpr Millis KeeperLivenessTimeout{15000}; // a control host that is gone is no longer shared with
constexpr Millis KeeperStateMaxAge{4000}; // four of its announcements: routers are sent to it
constexpr Millis KeeperAnnounceInterval{1000}; // between two announcements of a control host about itself
constexpr Millis BootstrapDiscoveryTime{1000}; // for control hosts with a disk to be heard of, if no seed has one
constexpr Millis SyncInterval{250}; // a change is at every router in a fraction of the second from which it is priced
constexpr Millis SyncIntervalWhileWaiting{40}; // while requests wait for a model to be loaded
constexpr Millis NearestHostRetryInterval{10000}; // a router that asks a distant control host tries the nearest one again
constexpr Millis SyncTimeout{600}; // a round trip takes 3 ms; what takes longer is asked of another host
constexpr Millis ShareTimeout{600};
constexpr Millis MaxShareInterval{1000}; // without a change, to learn that the peer has started again
constexpr Millis ShareBatchDelay{15}; // less than half of the time in which a waiting router asks again
constexpr Millis ShareRetryDelay{200};

// Requests on general routes
constexpr uint32_t MaxSendsPerRequest = 3; // endpoints tried, those that refused it included
constexpr Millis ColdFirstEventTime{1000}; // from a model's load to the first event, in a full batch; the end of a caller's patience
constexpr Millis ColdLoadOverhead{300}; // an unload before a load, and the news of both
constexpr Millis ColdRetryJitter{500}; // over which callers that were refused come back; 6 loads of the users' sites
constexpr double ColdWaitShare = 0.6; // of a short patience, for the load
constexpr Millis MaxConfigurationWait{800}; // from a router's start to its configuration, while control hosts elect a leader too
constexpr double ConfigurationWaitShare = 0.3; // of the caller's patience, so that it can still turn to another host
constexpr Millis DrainLoadWait{1500}; // of a stopping host, for models that are being loaded from a copy
constexpr Millis DrainStreamCutoff{1000}; // later streams, of 6 s when engines are busy, would not end in the users' 8 s of grace
constexpr Millis RetryAfterBusy{1000}; // about the time of a load from a copy, after which the model may be there
constexpr Millis EndpointConnectTimeout{500}; // a handshake takes 4 ms; a lost packet is sent again within this time
constexpr Millis ResolveTtl{1500}; // some callers keep an answer three times as long; a drain waits for them

// Choice of endpoint
constexpr Millis LoadObservationTtl{1500}; // what an answer said of an endpoint's load
constexpr double PrefillTokensPerMs = 38; // of the users' engines
constexpr double CrossZoneRoundTripMs = 3; // ms, there and back between availability zones
constexpr double FullBatchCostMs = 60; // ms; what a full batch adds to the time to the first token
constexpr double QueuedRequestCostMs = 30; // ms, of each request that waits for a place
constexpr double FailedEndpointCostMs = 5000; // ms; more than any other endpoint costs
constexpr Millis EndpointFailureCooldown{1000}; // after a failure an endpoint is the last choice for so long
constexpr Millis ModelNotHeldCooldown{300}; // until what the endpoint holds is heard again
constexpr size_t MaxPromptPartsPerEndpoint = 20000; // remembered per endpoint; 40 bytes each
constexpr Millis PromptPartTtl{20000}; // an engine's memory turns over in about this time

// Contents of engines that take conditional orders
constexpr Millis MaxReportLag{300}; // engines report their state as of some hundred ms earlier
constexpr Millis MinReportInterval{400}; // pause between two reports of one engine; each is priced like a health check
constexpr Millis MaxHeartbeatDelay{1500}; // a heartbeat that is older may miss the latest order
constexpr Millis OrderDeliveryMargin{500}; // an order that left with the last of a lease arrives within this time
constexpr Millis ConfigurationCommitTimeout{3000}; // the operator turns elsewhere after a second
constexpr Millis StoreRateWindow{5000}; // the store's rate holds in every window of this length
constexpr size_t MaxStoreLoadsForPrefetch = 3; // loads from the store without a waiting request; one place stays free for those
constexpr Millis ReservationTtl{4000}; // for a model for which room is being made: an unload and its last runs
constexpr Millis UnloadTimeEstimate{2000}; // an unload waits for its runs, which last 1.6 s on average
constexpr Millis AdapterPrefetchWindow{5000}; // adapters of models used in this time are loaded ahead of need
constexpr double ScaleUpSlotShare
    = 0.35; // of the slots of a model's holders in use: it gets one more; beyond it, pauses near the users' aim
constexpr Millis ExcessRequestWait{1000}; // what a request beyond that share counts as; about what a full batch delays it
constexpr double ScaleDownSlotShare = 0.25; // of the slots of the other holders: one holder may give the model up
constexpr double IdleUnloadCostMs = 50; // ms, of an idle model
constexpr double BusyVictimCostMs = 1500; // ms; about the time until the last run on the engine ends
constexpr double RecentVictimCostMs = 800; // ms, of the load that follows if a model is asked for again right away
constexpr Millis VictimRecencyWindow{20000}; // a model idle for longer costs nothing to give up

// Placement
constexpr Millis PlacementInterval{50};
constexpr size_t MaxStoreLoadsInFlight = 4;
constexpr size_t MaxAdapterLoadsInFlight = 32;
constexpr Millis AdapterLoadTime{10};
constexpr double MemoryTierLoadFactor = 0.05; // share of the time of a load from the store
constexpr double DiskTierLoadFactor = 0.3;
constexpr double IdleSecondsPerColdStartSecond = 5; // idle seconds worth one second of cold start at equal weights
constexpr size_t KeepWarmMaxSamples = 32; // pauses remembered per artifact
constexpr size_t KeepWarmMinSamples = 4;
constexpr Millis KeepWarmMinPause{500};
constexpr uint32_t RequestsPerReplica = 8; // waiting and running requests that justify one replica

// Admission
constexpr size_t QueueShards = 16;
constexpr size_t MaxQueuedPerArtifact = 512;
constexpr size_t MaxQueuedPerCaller = 128;
constexpr Millis DefaultDeadline = std::chrono::seconds(30);
constexpr Millis MaxDeadline = std::chrono::hours(12);
constexpr Millis QueueTick{10};
constexpr Millis MinRetryAfter{1000};
constexpr Millis LoadEstimateTtl{500}; // of what the leader said of a load
constexpr Millis RefusalCooldown{100}; // an endpoint that refused an artifact is not asked for it again
constexpr int MaxAttemptsPerRequest = 3;
constexpr double MaxOvernightShare = 0.75; // of an endpoint's capacity
constexpr double ServiceTimeEwmaWeight = 0.2; // of the newest request in the moving average
constexpr double RequiredServiceTimeShare = 0.5; // of the average service time that must fit before the deadline
constexpr uint32_t PrefixAffinitySlack = 2; // running requests by which the endpoint with the prefix may be busier
constexpr double RetryBudgetRatio = 0.1; // retries per request
constexpr double RetryBudgetBurst = 10;

// Logs
constexpr double LogLinesPerSecond = 200; // of one process; 10 times what a router of the users' sites writes at 3 lines a request
constexpr double LogLinesBurst = 1000; // a change of leader or a burst of callers in some seconds

// HTTP
constexpr size_t MaxBodyBytes = 8u << 20;
constexpr size_t RouterHttpThreads = 512;
constexpr size_t ControlHttpThreads = 32;
constexpr Millis HttpIoTimeout = std::chrono::seconds(10);

// Connections of the general data path
constexpr int ListenBacklog = 1024; // connections of one burst
constexpr int TcpKeepAliveIdleSeconds = 2; // a silent peer is noticed in about 5 s
constexpr int TcpKeepAliveIntervalSeconds = 1;
constexpr int TcpKeepAliveProbes = 3;
constexpr Millis TcpUserTimeout{4000}; // unacknowledged bytes; longer than a link is usually harmed
constexpr Millis AcceptRetryDelay{50}; // after a failed accept, mostly for want of descriptors
constexpr Millis LingeringCloseTimeout{1000}; // for the caller to read the last answer
constexpr Millis ConnectionSweepInterval{250}; // precision of idle and header timeouts
constexpr Millis EndpointIdleTimeout{10000}; // a kept connection to an endpoint, without a Keep-Alive header
constexpr Millis EndpointIdleTimeoutMargin{500}; // given up before the endpoint closes it
constexpr size_t MaxIdleConnectionsPerEndpoint = 64; // one engine's batch

} // namespace roserail::tunables
