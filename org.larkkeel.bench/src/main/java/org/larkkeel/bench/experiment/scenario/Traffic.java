/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.bench.experiment.scenario.Scenario.RequestClass;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.call.RunKey;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.WorkspaceName;

/**
 * Draws the requests of one run, which depend on seed and load but not on the policy.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Traffic {
  private static final long MAX_REPEAT_DELAY_NANOS = Scenario.NANOS_PER_SECOND;
  private static final long MIN_REPEAT_DELAY_NANOS = 10 * Scenario.NANOS_PER_MILLI;

  private Traffic() {}

  /**
   * Draws the requests.
   *
   * @param scenario the scenario
   * @param completionsPerSecond the mean rate of completions; plain calls have a rate of their own
   * @param seed the seed
   * @return the requests in the order of arrival
   */
  public static ImmutableList<Arrival> draw(
      Scenario scenario, double completionsPerSecond, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Arrival> drawn = new ArrayList<>();
    SplittableRandom completions = random.split();
    double peak = peakFactor(scenario);
    long at = Scenario.ARRIVALS_START_NANOS;
    while (completionsPerSecond > 0) {
      at += drawGap(completions, completionsPerSecond * peak);
      if (at >= scenario.end()) {
        break;
      }
      if (completions.nextDouble() * peak < scenario.arrivals().factor(at)) {
        drawn.add(drawCompletion(drawClass(scenario, completions), at, drawn.size(), completions));
      }
    }
    for (RequestClass kind : scenario.classes()) {
      if (kind.plain()) {
        addPlainCalls(scenario, kind, random.split(), drawn);
      }
    }
    return withIndexes(drawn);
  }

  /**
   * Draws one completion of the request mix, to estimate the mean work.
   *
   * @param scenario the scenario
   * @param random the source of randomness
   * @return a request that arrives at 0
   */
  static Arrival sample(Scenario scenario, SplittableRandom random) {
    return drawCompletion(drawClass(scenario, random), 0, 0, random);
  }

  private static ImmutableList<Arrival> withIndexes(List<Arrival> drawn) {
    drawn.sort(Comparator.comparingLong(Arrival::at));
    ImmutableList.Builder<Arrival> arrivals = ImmutableList.builderWithExpectedSize(drawn.size());
    for (int i = 0; i < drawn.size(); i++) {
      Arrival a = drawn.get(i);
      arrivals.add(
          new Arrival(
              i,
              a.at(),
              a.kind(),
              a.prompt(),
              a.output(),
              a.prefixes(),
              a.workspace(),
              a.leavesAt(),
              a.runKey()));
    }
    return arrivals.build();
  }

  private static void addPlainCalls(
      Scenario scenario, RequestClass kind, SplittableRandom random, List<Arrival> drawn) {
    long at = Scenario.ARRIVALS_START_NANOS;
    while (kind.requestsPerSecond() > 0) {
      at += drawGap(random, kind.requestsPerSecond());
      if (at >= scenario.end()) {
        return;
      }
      Optional<RunKey> key = Optional.empty();
      if (random.nextDouble() < kind.nonIdempotentShare()) {
        key = Optional.of(new RunKey(new IdempotencyKey("k" + drawn.size()), drawn.size()));
      }
      Arrival call = drawPlainCall(kind, at, key, random);
      drawn.add(call);
      if (key.isPresent() && random.nextDouble() < kind.repeatShare()) {
        long repeatAt = at + random.nextLong(MIN_REPEAT_DELAY_NANOS, MAX_REPEAT_DELAY_NANOS);
        Arrival repeat = drawPlainCall(kind, repeatAt, key, random);
        drawn.add(withWorkspace(repeat, call.workspace()));
      }
    }
  }

  private static Arrival withWorkspace(Arrival a, WorkspaceName workspace) {
    return new Arrival(
        a.index(),
        a.at(),
        a.kind(),
        a.prompt(),
        a.output(),
        a.prefixes(),
        workspace,
        a.leavesAt(),
        a.runKey());
  }

  private static Arrival drawPlainCall(
      RequestClass kind, long at, Optional<RunKey> key, SplittableRandom random) {
    return new Arrival(
        0,
        at,
        kind,
        0,
        0,
        PrefixKeys.NONE,
        drawWorkspace(kind, random),
        drawDisconnectTime(kind, at, random),
        key);
  }

  private static Arrival drawCompletion(
      RequestClass kind, long at, int index, SplittableRandom random) {
    int prompt = (int) Math.max(1, Math.round(kind.prompt().draw(random)));
    int drawn = (int) Math.max(1, Math.round(kind.output().draw(random)));
    int output = Math.min(drawn, kind.maxTokens());
    boolean isShared = random.nextDouble() < kind.prefixShare();
    int prefix = random.nextInt(kind.prefixes());
    return new Arrival(
        index,
        at,
        kind,
        prompt,
        output,
        drawPrefixes(kind, prompt, isShared ? prefix : -1, random),
        drawWorkspace(kind, random),
        drawDisconnectTime(kind, at, random),
        Optional.empty());
  }

  private static PrefixKeys drawPrefixes(
      RequestClass kind, int prompt, int prefix, SplittableRandom random) {
    int pieces = prompt / PrefixKeys.PIECE_TOKENS;
    int sharedPieces =
        prefix < 0 ? 0 : Math.min(pieces, kind.prefixTokens() / PrefixKeys.PIECE_TOKENS);
    ImmutableLongArray.Builder keys = ImmutableLongArray.builder(pieces);
    for (int i = 0; i < pieces; i++) {
      keys.add(i < sharedPieces ? sharedKey(kind, prefix, i) : random.nextLong());
    }
    return new PrefixKeys(keys.build());
  }

  private static long sharedKey(RequestClass kind, int prefix, int piece) {
    long mixed = kind.name().hashCode() * 1_000_003L + prefix;
    return new SplittableRandom(mixed * 1_000_003L + piece).nextLong();
  }

  private static RequestClass drawClass(Scenario scenario, SplittableRandom random) {
    double point = random.nextDouble();
    RequestClass last = null;
    for (RequestClass kind : scenario.classes()) {
      if (kind.plain()) {
        continue;
      }
      last = kind;
      point -= kind.share();
      if (point < 0) {
        return kind;
      }
    }
    return last;
  }

  private static WorkspaceName drawWorkspace(RequestClass kind, SplittableRandom random) {
    return new WorkspaceName(kind.name() + "-w" + random.nextInt(kind.workspaces()));
  }

  private static long drawDisconnectTime(RequestClass kind, long at, SplittableRandom random) {
    double chance = random.nextDouble();
    double delayMillis = kind.cancelAfter().draw(random);
    return chance < kind.cancelShare()
        ? at + (long) (delayMillis * Scenario.NANOS_PER_MILLI)
        : Long.MAX_VALUE;
  }

  private static double peakFactor(Scenario scenario) {
    return scenario.arrivals().burstEvery() == 0 ? 1 : scenario.arrivals().burstFactor();
  }

  private static long drawGap(SplittableRandom random, double perSecond) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) / perSecond * Scenario.NANOS_PER_SECOND);
  }
}
