#pragma once
// The fields of each message, for reading and writing. Included by messages.hpp alone.

BOOST_HANA_ADAPT_STRUCT(dockrock::Probe, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::ProbeAnswer, token, members);
BOOST_HANA_ADAPT_STRUCT(dockrock::ProbeFor, token, target);
BOOST_HANA_ADAPT_STRUCT(dockrock::Prepare, part, epoch, ballot, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Promise, part, epoch, ballot, accepted_ballot, accepted);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accept, part, epoch, ballot, record, proof);
BOOST_HANA_ADAPT_STRUCT(dockrock::Accepted, part, epoch, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::Refusal, part, epoch, promised, decided);
BOOST_HANA_ADAPT_STRUCT(dockrock::Decided, part, record);
BOOST_HANA_ADAPT_STRUCT(dockrock::LicenceAsk, part, record, asked_at);
BOOST_HANA_ADAPT_STRUCT(dockrock::LicenceGrant, part, epoch, asked_at);
BOOST_HANA_ADAPT_STRUCT(dockrock::Beat, part, record, sequence);
BOOST_HANA_ADAPT_STRUCT(dockrock::Append, part, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::Appended, part, epoch, sequence);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyOffer, part, epoch, ballot, copy, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::CopyTaken, part, epoch, ballot);
BOOST_HANA_ADAPT_STRUCT(dockrock::SpareOffer, part, record, copy);
BOOST_HANA_ADAPT_STRUCT(dockrock::NewsCopy, sequence, digest, whole, front, back, text);
BOOST_HANA_ADAPT_STRUCT(dockrock::NewsAsk, part, token, epoch, have, live_digest, live_age, whole);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::NewsAnswer, part, token, record, proven, age, sequence, copy, live_digest, live, live_age);
BOOST_HANA_ADAPT_STRUCT(dockrock::Call, part, identity, operation, if_match, body, base);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallForward, token, hops, origin, call);
BOOST_HANA_ADAPT_STRUCT(dockrock::CallAnswer, token, status, body, etag);
BOOST_HANA_ADAPT_STRUCT(dockrock::BurdenDigest, number, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAsk, part, token, key, ticket, release);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimAnswer, part, token, epoch, state);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimFlight, part, record, life, number, claims);
BOOST_HANA_ADAPT_STRUCT(dockrock::ClaimFlown, part, epoch, life, number);
BOOST_HANA_ADAPT_STRUCT(dockrock::PartHeld, epoch, voters, sequence, document);
BOOST_HANA_ADAPT_STRUCT(dockrock::AnewAsk, token);
BOOST_HANA_ADAPT_STRUCT(dockrock::AnewAnswer, token, parts);
BOOST_HANA_ADAPT_STRUCT(dockrock::FormAnew, epoch, voters, parts);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadTold, number, heard, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadShare, number, nodes, body, names, rates);
BOOST_HANA_ADAPT_STRUCT(dockrock::LoadSum, number, base, echo, echo_age, nodes, body);
BOOST_HANA_ADAPT_STRUCT(dockrock::KeptBatch, source, store, life, from, next, anew, weights, changes);
BOOST_HANA_ADAPT_STRUCT(dockrock::FeedAsk, feed, position, own);
BOOST_HANA_ADAPT_STRUCT(dockrock::FeedAnswer, feed, position, batches);
