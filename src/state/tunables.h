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
constexpr uint64_t PromoteWithinEntries = 64; // a learner this close to the leader is promoted
constexpr size_t MaxProposalsInFlight = 8192;

// Replicated records
constexpr Millis KeyWindow = std::chrono::hours(24); // an older idempotency key is refused
constexpr Millis KeyFutureMargin = std::chrono::minutes(5);
constexpr size_t StoredAnswerBytes = 64u << 10;
constexpr size_t ChangeRecordsKept = 10000;
constexpr Millis QuarantineTime = std::chrono::minutes(10);
constexpr uint32_t CrashesBeforeQuarantine = 2;
constexpr size_t CrashesBeforeRefusal = 3; // on general routes, where nothing confirms the blame; the most that the users allow
constexpr size_t CrashReportsKept = 32; // of one router; half of an engine's batch ran there when it crashed
constexpr size_t DocumentBytes = 4u << 20;

// Router sessions
constexpr Millis RouterHeartbeat{250};
constexpr Millis RouterLease{3000};
constexpr Millis AddressKeep{5000}; // how long callers may keep the list of addresses
constexpr Millis ControlCallTimeout{1000};
constexpr Millis ClaimCallTimeout{2500};

// Endpoints
constexpr Millis EndpointExpiry{3000}; // without a report, an endpoint leaves the directory
constexpr Millis OrderTimeout{2000};
constexpr Millis OrderRetry{1000};
constexpr Millis ConnectTimeout{500};
constexpr Millis StreamSilence{5000}; // endpoints send a comment at least every second
constexpr Millis StreamHeartbeat{1000};

// Live state of systems that are found by seeds
constexpr Millis GoneEntryKept = std::chrono::seconds(60); // longer than any router is out of reach in the users' trials
constexpr Millis EndpointSilence{9000}; // heartbeats come every 1.2 s and may be seconds late
constexpr Millis RouterSilence{5000}; // two signs of life, and the time that they take
constexpr Millis SignOfLifeInterval{2000}; // of what doesn't change, to control hosts that don't order
constexpr Millis KeeperSilence{15000}; // a control host that is gone is no longer shared with
constexpr Millis KeeperFresh{4000}; // four of its announcements: routers are sent to it
constexpr Millis KeeperInterval{1000}; // between two announcements of a control host about itself
constexpr Millis FoundingPatience{1000}; // for control hosts with a disk to be heard of, if no seed has one
constexpr Millis SyncInterval{250}; // a change is at every router in a fraction of the second from which it is priced
constexpr Millis SyncWhileWaiting{40}; // while requests wait for a model to be loaded
constexpr Millis NearestAgain{10000}; // a router that asks a distant control host tries the nearest one again
constexpr Millis SyncTimeout{600}; // a round trip takes 3 ms; what takes longer is asked of another host
constexpr Millis ShareTimeout{600};
constexpr Millis ShareAnyway{1000}; // without a change, to learn that the peer has started again
constexpr Millis ShareGather{15}; // less than half of the time in which a waiting router asks again
constexpr Millis ShareRetry{200};

// Requests on general routes
constexpr uint32_t SendsPerRequest = 3; // endpoints tried, those that refused it included
constexpr Millis ColdAnswerTime{1000}; // from a model's load to the first event, in a full batch; the end of a caller's patience
constexpr Millis ColdRoundTime{300}; // an unload before a load, and the news of both
constexpr Millis ColdSpread{500}; // over which callers that were refused come back; 6 loads of the users' sites
constexpr double ColdWaitShare = 0.6; // of a short patience, for the load
constexpr Millis ConfigurationWait{800}; // from a router's start to its configuration, while control hosts elect a leader too
constexpr double ConfigurationWaitShare = 0.3; // of the caller's patience, so that it can still turn to another host
constexpr Millis DrainWaitTime{1500}; // of a stopping host, for models that are being loaded from a copy
constexpr Millis DrainStreamTime{1000}; // later streams, of 6 s when engines are busy, would not end in the users' 8 s of grace
constexpr Millis RetryAfterBusy{1000}; // about the time of a load from a copy, after which the model may be there
constexpr Millis EndpointConnectTimeout{500}; // a handshake takes 4 ms; a lost packet is sent again within this time
constexpr Millis ResolveLifetime{1500}; // some callers keep an answer three times as long; a drain waits for them

// Choice of endpoint
constexpr Millis LoadKnown{1500}; // what an answer said of an endpoint's load
constexpr double PrefillTokensPerMs = 38; // of the users' engines
constexpr double ZoneCrossing = 3; // ms, there and back between availability zones
constexpr double FullBatchCost = 60; // ms; what a full batch adds to the time to the first token
constexpr double QueuedCost = 30; // ms, of each request that waits for a place
constexpr double FailedCost = 5000; // ms; more than any other endpoint costs
constexpr Millis EndpointFailedPause{1000}; // after a failure an endpoint is the last choice for so long
constexpr Millis NotHeldPause{300}; // until what the endpoint holds is heard again
constexpr size_t PromptPartsKept = 20000; // remembered per endpoint; 40 bytes each
constexpr Millis PromptPartKept{20000}; // an engine's memory turns over in about this time

// Contents of engines that take conditional orders
constexpr Millis ReportLag{300}; // engines report their state as of some hundred ms earlier
constexpr Millis ReportAgain{400}; // pause between two reports of one engine; each is priced like a health check
constexpr Millis HeartbeatDelay{1500}; // a heartbeat that is older may miss the latest order
constexpr Millis OrderLeaseMargin{500}; // an order that left with the last of a lease arrives within this time
constexpr Millis ConfigurationCommitTime{3000}; // the operator turns elsewhere after a second
constexpr Millis StoreWindow{5000}; // the store's rate holds in every window of this length
constexpr size_t StoreLoadsAhead = 3; // loads from the store without a waiting request; one place stays free for those
constexpr Millis ReservationTime{4000}; // for a model for which room is being made: an unload and its last runs
constexpr Millis UnloadWait{2000}; // an unload waits for its runs, which last 1.6 s on average
constexpr Millis AdapterAheadTime{5000}; // adapters of models used in this time are loaded ahead of need
constexpr double CrowdedShare = 0.35; // of the slots of a model's holders in use: it gets one more; beyond it, pauses near the users' aim
constexpr Millis CrowdedWait{1000}; // what a request beyond that share counts as; about what a full batch delays it
constexpr double SpareShare = 0.25; // of the slots of the other holders: one holder may give the model up
constexpr double UnloadTime = 50; // ms, of an idle model
constexpr double VictimBusy = 1500; // ms; about the time until the last run on the engine ends
constexpr double VictimRecent = 800; // ms, of the load that follows if a model is asked for again right away
constexpr Millis VictimIdle{20000}; // a model idle for longer costs nothing to give up

// Placement
constexpr Millis PlacementInterval{50};
constexpr size_t StoreLoadsInFlight = 4;
constexpr size_t AdapterLoadsInFlight = 32;
constexpr Millis AdapterLoadTime{10};
constexpr double TierFactorMemory = 0.05; // share of the time of a load from the store
constexpr double TierFactorDisk = 0.3;
constexpr double KeepSecondsPerLoadSecond = 5; // idle seconds worth one second of cold start at equal weights
constexpr size_t KeepWarmPauses = 32; // pauses remembered per artifact
constexpr size_t KeepWarmMinPauses = 4;
constexpr Millis KeepWarmShortestPause{500};
constexpr uint32_t RequestsPerReplica = 8; // waiting and running requests that justify one replica

// Admission
constexpr size_t QueueShards = 16;
constexpr size_t QueuePerArtifact = 512;
constexpr size_t QueuePerCaller = 128;
constexpr Millis DefaultDeadline = std::chrono::seconds(30);
constexpr Millis MaxDeadline = std::chrono::hours(12);
constexpr Millis QueueTick{10};
constexpr Millis RetryAfterMin{1000};
constexpr Millis EstimateValidity{500}; // of what the leader said of a load
constexpr Millis RefusalPause{100}; // an endpoint that refused an artifact is not asked for it again
constexpr int AttemptsPerRequest = 3;
constexpr double OvernightShare = 0.75; // of an endpoint's capacity
constexpr double ServiceTimeWeight = 0.2; // of the newest request in the moving average
constexpr double HopelessShare = 0.5; // of the average service time that must fit before the deadline
constexpr uint32_t PrefixSlack = 2; // running requests by which the endpoint with the prefix may be busier
constexpr double RetryBudgetRatio = 0.1; // retries per request
constexpr double RetryBudgetBurst = 10;

// Logs
constexpr double LogLinesPerSecond = 200; // of one process; 10 times what a router of the users' sites writes at 3 lines a request
constexpr double LogLinesBurst = 1000; // a change of leader or a burst of callers in some seconds

// HTTP
constexpr size_t MaxBodyBytes = 8u << 20;
constexpr size_t RouterThreads = 512;
constexpr size_t ControlThreads = 32;
constexpr Millis ReadTimeout = std::chrono::seconds(10);

// Connections of the general data path
constexpr int ListenBacklog = 1024; // connections of one burst
constexpr int KeepAliveIdleSeconds = 2; // a silent peer is noticed in about 5 s
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
constexpr Millis SilentPeerTimeout{4000}; // unacknowledged bytes; longer than a link is usually harmed
constexpr Millis AcceptPause{50}; // after a failed accept, mostly for want of descriptors
constexpr Millis GentleCloseTime{1000}; // for the caller to read the last answer
constexpr Millis ConnectionSweep{250}; // precision of idle and header timeouts
constexpr Millis EndpointIdleTime{10000}; // a kept connection to an endpoint, without a Keep-Alive header
constexpr Millis EndpointIdleMargin{500}; // given up before the endpoint closes it
constexpr size_t IdleConnectionsPerEndpoint = 64; // one engine's batch

} // namespace roserail::tunables
