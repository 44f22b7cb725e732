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

// HTTP
constexpr size_t MaxBodyBytes = 8u << 20;
constexpr size_t RouterThreads = 512;
constexpr size_t ControlThreads = 32;
constexpr Millis ReadTimeout = std::chrono::seconds(10);

} // namespace roserail::tunables
