/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.CallerKey;
import org.larkkeel.relay.EarlyRefusal;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;

/**
 * Refuses calls by their heads, before their bodies are read, while the quota of their workspace is
 * known to be used up.
 *
 * <p>A hot workspace sends thousands of such calls per second; each costs neither a body nor log
 * lines of its own. Invariants: a call is refused here only if it would be refused at once after
 * its body was read, by the same answer of the quota coordinator; that answer is at most 50 ms old,
 * so that the next call asks again. Acts only where the calls of a workspace have several ranks.
 * Not thread-safe.
 */
public final class EarlyQuotaRefusals {
  /** The period of one report for each workspace, so that the log grows with time, not load. */
  private static final long REPORT_NANOS = 1_000_000_000L;

  private static final double MILLI = 1e6;

  /**
   * Multiples of this fraction modulo 1 are spread evenly, so that callers with the same wait do
   * not return together.
   */
  private static final double GOLDEN_FRACTION = 0.618033988749895;

  private final Supplier<RelayConfiguration> configuration;
  private final HeldQuotas heldQuotas;
  private final Timers timers;
  private final Consumer<RelayEffect> effects;
  private final Map<WorkspaceName, Unreported> unreported = new HashMap<>();
  private long refusals;

  /** What was refused since the last report of a workspace. */
  private static final class Unreported {
    long calls;
    long tokens;
  }

  EarlyQuotaRefusals(
      Supplier<RelayConfiguration> configuration,
      HeldQuotas heldQuotas,
      Timers timers,
      Consumer<RelayEffect> effects) {
    this.configuration = configuration;
    this.heldQuotas = heldQuotas;
    this.timers = timers;
    this.effects = effects;
  }

  /**
   * Returns the refusal of a call whose head was read; empty if its body is to be read. Changes no
   * state.
   *
   * @param at the current time
   * @param host the host that the caller names
   * @param path the path without its query
   * @param size the size that the head declares
   * @param key the key that the head shows
   */
  public Optional<EarlyRefusal> check(
      long at, String host, String path, CallSize size, Optional<CallerKey> key) {
    RelayConfiguration c = configuration.get();
    if (c == null || c.mostUrgentPriority().isEmpty() || !heldQuotas.hasHolder()) {
      return Optional.empty();
    }
    return key.flatMap(c.workspaces()::find)
        .filter(w -> w.limit().isLimited() && isCostKnown(w, size))
        .flatMap(w -> c.match(host, path).flatMap(rule -> check(at, c, w, rule, size)));
  }

  private Optional<EarlyRefusal> check(
      long at, RelayConfiguration c, RelayWorkspace w, RelayRule rule, CallSize size) {
    long tokens = w.cost(size);
    OptionalLong wait =
        heldQuotas
            .existingHolder()
            .knownWait(
                at,
                new QuotaKey.OfWorkspace(w.name()),
                w.limit(),
                tokens,
                Quotas.maxWaitNanos(rule),
                Quotas.rank(c, rule));
    if (wait.isEmpty()) {
      return Optional.empty();
    }
    double spread = 1 + Quotas.RETRY_AFTER_SPREAD * (refusals * GOLDEN_FRACTION % 1);
    long millis = 1 + (long) (wait.getAsLong() / MILLI * spread);
    return Optional.of(new EarlyRefusal(w.name(), tokens, millis));
  }

  /** Returns whether the head says what a call costs, rather than a default for unknown sizes. */
  private static boolean isCostKnown(RelayWorkspace w, CallSize size) {
    return w.unit() == RelayWorkspace.QuotaUnit.CALLS || size.prompt() + size.maxOutput() > 0;
  }

  /** Counts a call that was refused by its head. */
  public void refused(long at, WorkspaceName workspace, long tokens) {
    refusals++;
    Unreported u = unreported.get(workspace);
    if (u == null) {
      u = new Unreported();
      unreported.put(workspace, u);
      timers.add(new Timers.Timer.EarlyRefusalsReport(at + REPORT_NANOS, workspace));
    }
    u.calls++;
    u.tokens += tokens;
  }

  /** Reports what was refused since the last report. */
  void report(WorkspaceName workspace) {
    Unreported u = unreported.remove(workspace);
    if (u != null) {
      effects.accept(
          new RelayEffect.Report(new RelayFact.QuotaRefusedEarly(workspace, u.calls, u.tokens)));
    }
  }
}
