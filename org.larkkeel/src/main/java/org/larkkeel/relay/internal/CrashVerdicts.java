/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.SuspectScope;
import org.larkkeel.relay.internal.SuspectRecord.CrashTime;

/**
 * Decides which of the suspects of crashes are to be quarantined.
 *
 * <p>A suspect is quarantined from its third crash on. Far more requests depend on a part of
 * prompts, so crashes of upstreams that had the part count together if it had been sent to all of
 * them before the first one ended, as when a whole rack loses power. Five crashes suffice however
 * they fall, as no upstream has served the part meanwhile; if they are few events, the verdict is
 * provisional and holds for a short time. So it is for the first part of prompts, which all
 * requests of a rule may share, until there are eight events.
 *
 * <p>A crash has one cause, but the upstream had several requests, and their prompts several parts.
 * So the suspect with the most crashes that nothing else explains is quarantined first, and the
 * crashes that it explains no longer count against the others. A part has the crashes of all
 * requests with it, so it is examined after the narrower suspects that come with it, unless it
 * takes several of them to explain its crashes: one part is more likely than several harmful
 * requests that happen to share it, however often each of them was sent. Each new crash of the true
 * cause increases its lead, so that a wrong verdict does not outlast the next one.
 *
 * <p>Not thread-safe.
 */
final class CrashVerdicts {
  /** The number of crashes from which a suspect is quarantined; two may be a coincidence. */
  static final int CRASHES = 3;

  /** The number of crashes from which a part is quarantined, even if they are one event. */
  private static final int CRASHES_IN_ANY_CASE = 5;

  /** The number of events from which the verdict on a first part is not provisional. */
  private static final int EVENTS_OF_FIRST_PART = 8;

  private final List<SuspectRecord> open = new ArrayList<>();
  private final Collection<SuspectRecord> all;
  private final Set<UpstreamIncarnation> explained = new HashSet<>();
  private final Map<Fingerprint, Verdict> verdicts = new HashMap<>();

  /**
   * The verdict on a suspect that is to be quarantined.
   *
   * @param excess the number of events beyond those required
   * @param provisional whether there are too few events for a lasting verdict
   * @param lastCrashAt the time of the last crash that counts
   */
  record Verdict(int excess, boolean provisional, long lastCrashAt) {}

  /**
   * The evidence against a suspect.
   *
   * @param all all crashes
   * @param events those that count, in the order of their times
   */
  private record Case(SuspectRecord suspect, Evidence all, Evidence events) {
    /**
     * Returns whether the suspect is to be quarantined: the evidence suffices, and most of it has
     * no other explanation, or for the first part of prompts all that is required. For parts of
     * streams that are cut after some time, there must be more crashes, and few at other times.
     */
    boolean isProven() {
      return isPartInMidstream()
          ? all.suffices(CRASHES_IN_ANY_CASE)
              && 3 * all.crashes().size() >= 2 * suspect.crashes().size()
          : isProvenBeforeMidstream();
    }

    private boolean isPartInMidstream() {
      return suspect.scope() instanceof SuspectScope.PromptPart
          && all.crashes().stream().anyMatch(c -> StreamTimes.isInMidstream(c.streamedNanos()));
    }

    private boolean isProvenBeforeMidstream() {
      return switch (suspect.scope()) {
        case SuspectScope.Request r -> events.suffices(CRASHES);
        case SuspectScope.PromptPart p when p.position() == 0 ->
            all.unexplained() >= CRASHES_IN_ANY_CASE;
        case SuspectScope.PromptPart p ->
            events.suffices(CRASHES) || all.suffices(CRASHES_IN_ANY_CASE);
      };
    }

    Verdict verdict() {
      int excess = events.crashes().size() - required(suspect.scope());
      return new Verdict(Math.max(0, excess), excess < 0, all.crashes().getLast().endedAt());
    }
  }

  /**
   * Crashes that count against a suspect.
   *
   * @param crashes the crashes, in the order of their times
   * @param unexplained the number of those that no quarantined suspect explains
   */
  private record Evidence(List<CrashTime> crashes, int unexplained) {
    /** Returns whether there are enough crashes, most of which have no other explanation. */
    boolean suffices(int required) {
      return crashes.size() >= required && 3 * unexplained >= 2 * crashes.size();
    }
  }

  private CrashVerdicts(Collection<SuspectRecord> suspects) {
    all = suspects;
    for (SuspectRecord s : suspects) {
      if (s.crashes().size() >= CRASHES) {
        open.add(s);
      }
    }
  }

  /** Returns the suspects to be quarantined. */
  static ImmutableMap<Fingerprint, Verdict> of(Collection<SuspectRecord> suspects) {
    CrashVerdicts verdicts = new CrashVerdicts(suspects);
    verdicts.decide();
    return ImmutableMap.copyOf(verdicts.verdicts);
  }

  private void decide() {
    for (List<Case> proven = proven(); !proven.isEmpty(); proven = proven()) {
      Case strongest = strongest(proven);
      verdicts.put(strongest.suspect().id(), strongest.verdict());
      explained.addAll(strongest.suspect().crashes().keySet());
      open.remove(strongest.suspect());
    }
  }

  private List<Case> proven() {
    return open.stream().map(this::examine).filter(Case::isProven).toList();
  }

  private Case examine(SuspectRecord s) {
    Map<UpstreamIncarnation, CrashTime> counted = s.alikeCrashes();
    List<CrashTime> all = times(counted, Set.of());
    List<CrashTime> unexplained = times(counted, explained);
    return new Case(
        s,
        new Evidence(all, unexplained.size()),
        new Evidence(events(s, all), events(s, unexplained).size()));
  }

  /** Returns those of some crashes that are not explained, in the order of their times. */
  private static List<CrashTime> times(
      Map<UpstreamIncarnation, CrashTime> crashes, Set<UpstreamIncarnation> explained) {
    List<CrashTime> times = new ArrayList<>();
    crashes.forEach(
        (incarnation, time) -> {
          if (!explained.contains(incarnation)) {
            times.add(time);
          }
        });
    times.sort(Comparator.comparingLong(CrashTime::endedAt));
    return times;
  }

  /** Returns the crashes that count as events of their own. */
  private static List<CrashTime> events(SuspectRecord s, List<CrashTime> times) {
    return switch (s.scope()) {
      case SuspectScope.Request r -> times;
      case SuspectScope.PromptPart p -> independent(times);
    };
  }

  /**
   * Returns the case with the most unexplained crashes among those that no narrower or wider one
   * precedes; of equal ones the widest, as a request that was repeated beside the crashes is more
   * likely than such a part. The first parts of prompts, which are beside every crash, come last.
   */
  private Case strongest(List<Case> proven) {
    Set<Case> common =
        proven.stream().filter(c -> isCommonCause(c.suspect())).collect(Collectors.toSet());
    return proven.stream()
        .filter(c -> proven.stream().noneMatch(o -> precedes(o, c, common)))
        .max(
            Comparator.comparing((Case c) -> !isFirstPart(c.suspect().scope()))
                .thenComparingInt(c -> c.all().unexplained())
                .thenComparingInt(c -> c.events().unexplained())
                .thenComparingInt(c -> -c.suspect().scope().narrowness())
                .thenComparing(c -> c.suspect().id().toString()))
        .orElse(proven.getFirst());
  }

  /** Returns whether a case is to be examined before another one, which has the same crashes. */
  private static boolean precedes(Case a, Case b, Set<Case> common) {
    return a.suspect().isWithin(b.suspect())
        ? !outweighs(b, a, common)
        : b.suspect().isWithin(a.suspect()) && outweighs(a, b, common);
  }

  /**
   * Returns whether a wider suspect is more likely than a narrower one with some of its crashes.
   */
  private static boolean outweighs(Case wider, Case narrower, Set<Case> common) {
    boolean isComparable =
        !isFirstPart(wider.suspect().scope())
            || narrower.suspect().scope() instanceof SuspectScope.Request;
    return isComparable && common.contains(wider);
  }

  /**
   * Returns whether several narrower suspects would be needed to explain the crashes of a part. All
   * requests of a rule may share the first part, so more are needed there.
   */
  private boolean isCommonCause(SuspectRecord part) {
    int required = isFirstPart(part.scope()) ? CRASHES_IN_ANY_CASE : CRASHES;
    List<SuspectRecord> narrower = all.stream().filter(n -> n.wider().contains(part.id())).toList();
    Set<UpstreamIncarnation> left = new HashSet<>(part.crashes().keySet());
    int needed = 0;
    while (!left.isEmpty() && needed < required) {
      removeMost(left, narrower);
      needed++;
    }
    return needed == required;
  }

  /** Removes the crashes that the best of some suspects explains, or one if none explains any. */
  private static void removeMost(Set<UpstreamIncarnation> left, List<SuspectRecord> suspects) {
    Set<UpstreamIncarnation> most = Set.of(left.iterator().next());
    for (SuspectRecord s : suspects) {
      Set<UpstreamIncarnation> common = new HashSet<>(s.crashes().keySet());
      common.retainAll(left);
      if (common.size() > most.size()) {
        most = common;
      }
    }
    left.removeAll(most);
  }

  private static int required(SuspectScope scope) {
    return isFirstPart(scope) ? EVENTS_OF_FIRST_PART : CRASHES;
  }

  private static boolean isFirstPart(SuspectScope scope) {
    return scope instanceof SuspectScope.PromptPart p && p.position() == 0;
  }

  /** Returns the crashes of upstreams to which the suspect was sent after the one before. */
  private static List<CrashTime> independent(List<CrashTime> times) {
    List<CrashTime> independent = new ArrayList<>();
    for (CrashTime time : times) {
      if (independent.isEmpty() || time.sentAt() >= independent.getLast().endedAt()) {
        independent.add(time);
      }
    }
    return independent;
  }
}
