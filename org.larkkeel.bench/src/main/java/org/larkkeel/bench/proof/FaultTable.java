/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import static org.larkkeel.bench.proof.world.Moment.AFTER_ANSWER;
import static org.larkkeel.bench.proof.world.Moment.AFTER_EFFECT;
import static org.larkkeel.bench.proof.world.Moment.BEFORE;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;
import java.util.Set;
import org.larkkeel.bench.proof.world.Fault;
import org.larkkeel.bench.proof.world.Moment;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;

/**
 * The moments at which faults are injected at each step, and the faults that don't apply to a
 * scenario. The tests fail if a type of event or effect has no entry.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class FaultTable {
  private static final ImmutableSet<Moment> AROUND_CALL =
      Sets.immutableEnumSet(BEFORE, AFTER_EFFECT, AFTER_ANSWER);
  private static final ImmutableSet<Moment> AROUND_CLAIM =
      Sets.immutableEnumSet(BEFORE, AFTER_ANSWER);
  private static final ImmutableSet<Moment> AROUND_EVENT =
      Sets.immutableEnumSet(BEFORE, AFTER_EFFECT);
  private static final ImmutableSet<Moment> ONLY_BEFORE = Sets.immutableEnumSet(BEFORE);

  private static final ImmutableMap<Class<?>, ImmutableSet<Moment>> MOMENTS =
      ImmutableMap.<Class<?>, ImmutableSet<Moment>>builder()
          .put(Effect.StartPrefill.class, AROUND_CALL)
          .put(Effect.StartTransfer.class, AROUND_CALL)
          .put(Effect.StartDecode.class, AROUND_CALL)
          .put(Effect.SendPlain.class, AROUND_CALL)
          .put(Effect.Cancel.class, AROUND_CALL)
          .put(Effect.ClaimRun.class, AROUND_CLAIM)
          .put(Effect.RecordRun.class, AROUND_CLAIM)
          .put(Effect.Complete.class, ONLY_BEFORE)
          .put(Effect.Replay.class, ONLY_BEFORE)
          .put(Effect.Refuse.class, ONLY_BEFORE)
          .put(Effect.Forget.class, ONLY_BEFORE)
          .put(Effect.WantSlots.class, ONLY_BEFORE)
          .put(Effect.WantLimit.class, ONLY_BEFORE)
          .put(Effect.Wake.class, ONLY_BEFORE)
          .put(Effect.Report.class, ONLY_BEFORE)
          .put(Event.RequestArrived.class, AROUND_EVENT)
          .put(Event.CallerGone.class, AROUND_EVENT)
          .put(Event.PrefillDone.class, AROUND_EVENT)
          .put(Event.TransferDone.class, AROUND_EVENT)
          .put(Event.FirstToken.class, AROUND_EVENT)
          .put(Event.DecodeDone.class, AROUND_EVENT)
          .put(Event.PlainDone.class, AROUND_EVENT)
          .put(Event.AttemptFailed.class, AROUND_EVENT)
          .put(Event.CancelSettled.class, AROUND_EVENT)
          .put(Event.ClaimSettled.class, AROUND_EVENT)
          .put(Event.RecordSettled.class, AROUND_EVENT)
          .put(Event.LoadReported.class, AROUND_EVENT)
          .put(Event.LoadUnavailable.class, AROUND_EVENT)
          .put(Event.CacheChanged.class, AROUND_EVENT)
          .put(Event.ConfigurationAccepted.class, AROUND_EVENT)
          .put(Event.PeersChanged.class, AROUND_EVENT)
          .put(Event.SlotsGranted.class, AROUND_EVENT)
          .put(Event.LimitGranted.class, AROUND_EVENT)
          .put(Event.StopRequested.class, AROUND_EVENT)
          .put(Event.Ticked.class, AROUND_EVENT)
          .build();

  private static final Set<Scenario> SCENARIOS_WITHOUT_TRANSFER =
      EnumSet.of(
          Scenario.PLAIN_IDEMPOTENT,
          Scenario.PLAIN_KEYED,
          Scenario.PLAIN_KEYED_REPEATED,
          Scenario.PLAIN_UNKEYED,
          Scenario.REFUSED);
  private static final Set<Fault> TRANSFER_FAULTS =
      EnumSet.of(Fault.TRANSFER_STALL, Fault.KV_EVICTED, Fault.STALE_CACHE);
  private static final Set<Fault> UPSTREAM_FAULTS =
      EnumSet.of(
          Fault.UPSTREAM_DEATH,
          Fault.UPSTREAM_RESTART,
          Fault.UPSTREAM_UNREACHABLE,
          Fault.UPSTREAM_LEAVING,
          Fault.ANSWERS_LATE,
          Fault.STALE_LOAD);

  private FaultTable() {}

  /**
   * Returns the steps that have an entry.
   *
   * @return the types of events and effects
   */
  public static ImmutableSet<Class<?>> coveredSteps() {
    return MOMENTS.keySet();
  }

  /**
   * Returns the moments at which faults are injected at a step.
   *
   * @param step the type of the event or effect
   * @return at least one
   * @throws IllegalStateException if the step has no entry
   */
  public static ImmutableSet<Moment> moments(Class<?> step) {
    ImmutableSet<Moment> moments = MOMENTS.get(step);
    if (moments == null) {
      throw new IllegalStateException(
          "step " + step.getSimpleName() + " has no entry: add its moments to " + FaultTable.class);
    }
    return moments;
  }

  /**
   * Returns the reason why a fault does not apply to a scenario.
   *
   * @param scenario the scenario
   * @param fault the fault
   * @return the reason, empty if the fault applies
   */
  public static String exemption(Scenario scenario, Fault fault) {
    if (SCENARIOS_WITHOUT_TRANSFER.contains(scenario) && TRANSFER_FAULTS.contains(fault)) {
      return "no KV cache in this scenario";
    }
    if (scenario == Scenario.REFUSED && UPSTREAM_FAULTS.contains(fault)) {
      return "no upstream in this scenario";
    }
    return "";
  }
}
