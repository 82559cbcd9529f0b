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
 * Which moments every step has, and which faults mean something in a scenario. A step without an
 * entry fails the proof.
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
  private static final ImmutableSet<Moment> AT_ONCE = Sets.immutableEnumSet(BEFORE);

  private static final ImmutableMap<Class<?>, ImmutableSet<Moment>> MOMENTS =
      ImmutableMap.<Class<?>, ImmutableSet<Moment>>builder()
          .put(Effect.StartPrefill.class, AROUND_CALL)
          .put(Effect.StartTransfer.class, AROUND_CALL)
          .put(Effect.StartDecode.class, AROUND_CALL)
          .put(Effect.SendPlain.class, AROUND_CALL)
          .put(Effect.Cancel.class, AROUND_CALL)
          .put(Effect.ClaimRun.class, AROUND_CLAIM)
          .put(Effect.RecordRun.class, AROUND_CLAIM)
          .put(Effect.Complete.class, AT_ONCE)
          .put(Effect.Replay.class, AT_ONCE)
          .put(Effect.Refuse.class, AT_ONCE)
          .put(Effect.Forget.class, AT_ONCE)
          .put(Effect.WantSlots.class, AT_ONCE)
          .put(Effect.WantLimit.class, AT_ONCE)
          .put(Effect.Wake.class, AT_ONCE)
          .put(Effect.Report.class, AT_ONCE)
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

  private static final Set<Scenario> WITHOUT_TRANSFER =
      EnumSet.of(
          Scenario.PLAIN_IDEMPOTENT,
          Scenario.PLAIN_KEYED,
          Scenario.PLAIN_KEYED_REPEATED,
          Scenario.PLAIN_UNKEYED,
          Scenario.REFUSED);
  private static final Set<Fault> OF_TRANSFER =
      EnumSet.of(Fault.TRANSFER_STALL, Fault.KV_EVICTED, Fault.STALE_CACHE);
  private static final Set<Fault> OF_UPSTREAM =
      EnumSet.of(
          Fault.UPSTREAM_DEATH,
          Fault.UPSTREAM_RESTART,
          Fault.UPSTREAM_UNREACHABLE,
          Fault.UPSTREAM_LEAVING,
          Fault.ANSWERS_LATE,
          Fault.STALE_LOAD);

  private FaultTable() {}

  /**
   * The steps that have an entry.
   *
   * @return types of events and effects
   */
  public static ImmutableSet<Class<?>> assigned() {
    return MOMENTS.keySet();
  }

  /**
   * The moments of a step.
   *
   * @param step the type of the event or effect
   * @return at least one
   * @throws IllegalStateException if the step has no entry
   */
  public static ImmutableSet<Moment> moments(Class<?> step) {
    ImmutableSet<Moment> moments = MOMENTS.get(step);
    if (moments == null) {
      throw new IllegalStateException(
          "step " + step.getSimpleName() + " has no faults: add it to " + FaultTable.class);
    }
    return moments;
  }

  /**
   * Why a fault means nothing in a scenario.
   *
   * @param scenario the scenario
   * @param fault the fault
   * @return the reason, empty if the fault means something
   */
  public static String exemption(Scenario scenario, Fault fault) {
    if (WITHOUT_TRANSFER.contains(scenario) && OF_TRANSFER.contains(fault)) {
      return "no KV cache in this scenario";
    }
    if (scenario == Scenario.REFUSED && OF_UPSTREAM.contains(fault)) {
      return "no upstream in this scenario";
    }
    return "";
  }
}
