/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.ListWitness;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayFact.StreamResolved.Source;
import org.larkkeel.relay.StreamFinding;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;

/**
 * Finds the builds of streams that callers take up.
 *
 * <p>A node that passed the first event of a stream on, or was told of it, knows its build. Another
 * one may conclude it if only one build has served; but that no other build is listed says nothing
 * unless the list is known to be complete, see {@link ListWitness}, and nothing of the time before
 * the node followed it: that is known to older nodes and to the store. The store is asked first,
 * then other nodes. A call whose build is not known in time is refused as not run.
 *
 * <p>Invariant: a call goes on only at a build that is known to have begun its stream, or at the
 * only build that has served for as long as a stream can last, by a list that was complete after
 * the call arrived, or shortly before. Not thread-safe.
 */
final class ResumedStreams {
  /** The maximum wait for the answers of the store and of other nodes. */
  private static final long MAX_WAIT_NANOS = 400_000_000L;

  /** The delay of a timer from which the event loop counts as held up. */
  private static final long MAX_LATE_NANOS = 20_000_000L;

  /** The further wait after the event loop was held up. */
  private static final long EXTENSION_NANOS = 60_000_000L;

  private static final String UNKNOWN_DETAIL = "the build that began the stream is not known";

  private final Core core;
  private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

  /** A call that waits to learn the build of its stream. */
  private static final class Waiting {
    final CallState call;
    final StreamId stream;
    final long since;
    long until;
    boolean extended;
    boolean peersAsked;
    Optional<StreamFinding> finding = Optional.empty();

    Waiting(CallState call, StreamId stream, long since) {
      this.call = call;
      this.stream = stream;
      this.since = since;
      this.until = since + MAX_WAIT_NANOS;
    }

    Optional<StreamLookup> peersResult() {
      return finding.flatMap(StreamFinding::result);
    }
  }

  ResumedStreams(Core core) {
    this.core = core;
  }

  /**
   * Restricts a call that takes a stream up to the build that began it. Returns whether the call
   * may proceed now; else it waits, or was refused.
   */
  boolean admit(long at, CallState c) {
    if (!c.call.resumes() || c.rule.kind() != CallKind.RESUMABLE_STREAM) {
      return true;
    }
    if (core.streamBuilds.namesNoBuild(at, c.service)) {
      c.build = BuildName.UNKNOWN;
      return true;
    }
    // Nodes are asked under the id of the call if its caller does not name the stream. None knows
    // it, but they tell which builds they know.
    Optional<StreamId> stream = StreamBuilds.streamOf(c);
    if (stream.isEmpty()) {
      core.openCalls.fail(at, c, ErrorKind.NO_UPSTREAM, UNKNOWN_DETAIL);
      return false;
    }
    Waiting w = new Waiting(c, stream.get(), at);
    waiting.put(c.call.id(), w);
    switch (own(at, w)) {
      case StreamLookup.Known k -> {}
      case StreamLookup.Sole s -> core.listConfirmation.request(at);
      case StreamLookup.Listed l -> {
        core.listConfirmation.request(at);
        askPeers(w);
      }
      case StreamLookup.Unknown u -> askPeers(w);
    }
    if (core.streamBuilds.lacksHistory(at, c.service)) {
      requestHistory(at, w);
    }
    if (core.listConfirmation.isOverdue(at)) {
      askPeers(w);
    }
    core.timers.add(
        new Timers.Timer.StreamLookupTimeout(ListConfirmation.overdueAt(at), c.call.id()));
    core.timers.add(new Timers.Timer.StreamLookupTimeout(w.until, c.call.id()));
    return decide(at, w);
  }

  private StreamLookup own(long at, Waiting w) {
    return core.streamBuilds.lookup(at, w.stream, w.call.service);
  }

  private void askPeers(Waiting w) {
    if (!w.peersAsked) {
      w.peersAsked = true;
      core.emit(new RelayEffect.FindStream(w.stream, w.call.service));
    }
  }

  /** Handles the answer of other nodes. */
  void found(long at, StreamId stream, StreamFinding finding) {
    for (Waiting w : List.copyOf(waiting.values())) {
      if (w.peersAsked && w.stream.equals(stream)) {
        w.finding = Optional.of(finding);
        proceed(at, w);
      }
    }
  }

  private void requestHistory(long at, Waiting w) {
    core.buildHistory.request(at);
    core.timers.add(
        new Timers.Timer.StreamLookupTimeout(BuildHistoryReads.overdueAt(at), w.call.call.id()));
  }

  /**
   * Decides the waiting calls again after the list was confirmed. Calls that arrived after the read
   * had begun may not be covered by it: the list is read again for those.
   */
  void listConfirmed(long at) {
    reconsider(at);
    if (waiting.values().stream().anyMatch(w -> awaitsList(at, w))) {
      core.listConfirmation.request(at);
    }
  }

  private boolean awaitsList(long at, Waiting w) {
    return own(at, w).onlyBuild().isPresent() && !core.listConfirmation.isCompleteAt(w.since);
  }

  /** Decides the waiting calls again after the store has told something. */
  void reconsider(long at) {
    List.copyOf(waiting.values()).forEach(w -> proceed(at, w));
  }

  /**
   * Handles the end of a wait, of which there are two for each call. If the second comes late, the
   * event loop was held up, and answers may be there that it has not read: these are awaited.
   */
  void timedOut(long at, Timers.Timer.StreamLookupTimeout timeout) {
    Waiting w = waiting.get(timeout.call());
    if (w == null) {
      return;
    }
    if (timeout.at() < w.until) {
      askPeers(w);
      if (at < w.until) {
        proceed(at, w);
      }
    } else if (at - timeout.at() > MAX_LATE_NANOS && !w.extended) {
      w.extended = true;
      w.until = at + EXTENSION_NANOS;
      core.timers.add(new Timers.Timer.StreamLookupTimeout(w.until, timeout.call()));
    } else {
      proceed(at, w);
    }
  }

  private void proceed(long at, Waiting w) {
    if (waiting.containsKey(w.call.call.id()) && decide(at, w)) {
      core.quotas.admit(at, w.call);
    }
  }

  /** Removes a call that has ended. */
  void remove(CallState c) {
    waiting.remove(c.call.id());
  }

  /** Decides a call if that is possible now; returns whether it may proceed. */
  private boolean decide(long at, Waiting w) {
    final boolean isLast =
        at >= w.until || (w.finding.isPresent() && core.listConfirmation.isOverdue(at));
    StreamLookup own = own(at, w);
    if (own instanceof StreamLookup.Known k) {
      Source source = core.streamBuilds.isFromStore(w.stream) ? Source.STORE : Source.OWN;
      return resolve(at, w, source, k.build(), ListWitness.NONE);
    }
    if (w.peersResult().orElse(own) instanceof StreamLookup.Known k) {
      return resolve(at, w, Source.PEER, k.build(), ListWitness.NONE);
    }
    Optional<BuildName> build = onlyBuild(own, w);
    if (build.isEmpty()) {
      refuseUnknown(at, w, own);
      return false;
    }
    ListWitness witness = witness(w);
    if (witness != ListWitness.NONE) {
      return resolve(at, w, Source.SOLE, build.get(), witness);
    }
    if (isLast) {
      refuse(at, w, Source.OUTDATED);
    }
    return false;
  }

  /**
   * Refuses a call of whose stream nothing is known, once the other nodes have answered, and the
   * store has if it may know more.
   */
  private void refuseUnknown(long at, Waiting w, StreamLookup own) {
    if (w.finding.isPresent() && at < w.until && !(own instanceof StreamLookup.Sole)) {
      requestHistory(at, w);
      if (core.buildHistory.isPending(at)) {
        return;
      }
    }
    if (at >= w.until || w.finding.isPresent()) {
      boolean isKnownAsSeveral =
          own instanceof StreamLookup.Unknown
              || w.peersResult().orElse(own) instanceof StreamLookup.Unknown;
      refuse(at, w, isKnownAsSeveral ? Source.UNKNOWN : Source.NO_HISTORY);
    }
  }

  /**
   * Returns the only build that has served, if it is known. At least one node must remember what
   * has served: nodes that have all just started list what serves now.
   */
  private Optional<BuildName> onlyBuild(StreamLookup own, Waiting w) {
    Optional<BuildName> build = own.onlyBuild();
    Optional<StreamLookup> peers = w.peersResult();
    if (peers.isEmpty()) {
      return build.filter(b -> own instanceof StreamLookup.Sole);
    }
    boolean isRemembered =
        own instanceof StreamLookup.Sole
            || (peers.get() instanceof StreamLookup.Sole && isRecent(w));
    return build.filter(b -> isRemembered && peers.get().onlyBuild().equals(build));
  }

  /**
   * Returns whether what other nodes remember includes all that served until now. Most nodes know
   * that only while nobody reaches the store.
   */
  private boolean isRecent(Waiting w) {
    return switch (w.finding.map(StreamFinding::witness).orElse(ListWitness.NONE)) {
      case PEER -> true;
      case MAJORITY -> !core.listConfirmation.isCompleteAt(w.since);
      case STORE, NONE -> false;
    };
  }

  private ListWitness witness(Waiting w) {
    return core.listConfirmation.isCompleteAt(w.since)
        ? ListWitness.STORE
        : w.finding.map(StreamFinding::witness).orElse(ListWitness.NONE);
  }

  private boolean resolve(long at, Waiting w, Source source, BuildName build, ListWitness witness) {
    waiting.remove(w.call.call.id());
    w.call.build = build;
    report(at, w, source, build, witness);
    if (core.streamBuilds.isHopeless(at, w.call)) {
      core.streamBuilds.failHopeless(at, w.call);
      return false;
    }
    return true;
  }

  private void refuse(long at, Waiting w, Source source) {
    waiting.remove(w.call.call.id());
    report(at, w, source, BuildName.UNKNOWN, ListWitness.NONE);
    core.openCalls.fail(
        at,
        w.call,
        ErrorKind.NO_UPSTREAM,
        switch (source) {
          case OUTDATED -> "the node may have missed other builds than that which it knows";
          case NO_HISTORY -> "the builds that served before the nodes started are not known";
          default -> UNKNOWN_DETAIL;
        });
  }

  private void report(long at, Waiting w, Source source, BuildName build, ListWitness witness) {
    core.report(
        new RelayFact.StreamResolved(
            w.call.call.wireId(),
            w.call.call.resumedStream().map(StreamId::value).orElse(""),
            source,
            build,
            witness,
            core.listConfirmation.ageNanos(at),
            own(at, w),
            core.streamBuilds.followedNanos(at, w.call.service),
            w.peersResult(),
            w.finding.stream()
                .flatMap(f -> f.answered().stream())
                .map(HostName::value)
                .collect(Collectors.joining(",")),
            at - w.since));
  }
}
