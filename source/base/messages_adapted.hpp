#pragma once
// The fields of each message, for serialization. Takes seconds to compile: include it only where messages are
// serialized.
#include "base/messages.hpp"

BOOST_HANA_ADAPT_STRUCT(dockrock::Probe, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::ProbeAnswer, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::IndirectProbe, token, target);
BOOST_HANA_ADAPT_STRUCT(dockrock::Prepare, partition, term, ballot, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Promise, partition, term, ballot, accepted_ballot, accepted);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accept, partition, term, ballot, record, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accepted, partition, term, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::Refusal, partition, term, promised, decided);
BOOST_HANA_ADAPT_STRUCT(dockrock::Decided, partition, record);
BOOST_HANA_ADAPT_STRUCT(dockrock::LeaseRequest, partition, record, asked_at, without_lease);
BOOST_HANA_ADAPT_STRUCT(dockrock::LeaseGrant, partition, term, asked_at, withheld);
BOOST_HANA_ADAPT_STRUCT(dockrock::Heartbeat, partition, record, sequence, without_lease);
BOOST_HANA_ADAPT_STRUCT(dockrock::Append, partition, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::AppendChange, partition, record, change);
BOOST_HANA_ADAPT_STRUCT(dockrock::Appended, partition, term, sequence, lacks_base);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyOffer, partition, record, ballot, copy, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyTaken, partition, term, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::SpareOffer, partition, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::SpareChange, partition, record, change);
BOOST_HANA_ADAPT_STRUCT(dockrock::DocumentUpdate, sequence, digest, whole, text, edits);
BOOST_HANA_ADAPT_STRUCT(dockrock::UpdateRequest, partition, token, term, have, live_digest, live_age, whole);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::UpdateAnswer, partition, token, record, proven, age, sequence, copy, live_digest, live, live_age);
BOOST_HANA_ADAPT_STRUCT(dockrock::Call, partition, identity, operation, if_match, body, base);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallForward, token, hops, origin, call);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallAnswer, token, status, body, etag);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadDigest, number, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAsk, partition, token, key, ticket, release);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAnswer, partition, token, term, state);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimReplication, partition, record, life, number, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimReplicated, partition, term, life, number);
BOOST_HANA_ADAPT_STRUCT(dockrock::HeldPartition, term, voters, sequence, document);
BOOST_HANA_ADAPT_STRUCT(dockrock::RecoveryRequest, token);
BOOST_HANA_ADAPT_STRUCT(dockrock::RecoveryAnswer, token, partitions);
BOOST_HANA_ADAPT_STRUCT(dockrock::RecoverFleet, term, voters, partitions);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadReport, number, heard, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadShare, number, nodes, body, names, rates);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadSum, number, base, echo, echo_age, nodes, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::CacheBatch, source, store, life, from, next, anew, weights, changes);
BOOST_HANA_ADAPT_STRUCT(dockrock::VersionAge, version, age);
BOOST_HANA_ADAPT_STRUCT(dockrock::VersionAges, asks, named);
BOOST_HANA_ADAPT_STRUCT(dockrock::FeedAsk, feed, position, own);
BOOST_HANA_ADAPT_STRUCT(dockrock::FeedAnswer, feed, position, batches);
