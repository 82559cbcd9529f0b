/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import java.util.SplittableRandom;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.config.Role;

/**
 * The fluid limit: completions a second at which the scarcest resource is in use all the time.
 *
 * <p>Prompts count in full, as if no prefix were cached. Immutable and safe for use by several
 * threads.
 *
 * @param prefill completions a second that the prefill engines can compute
 * @param transfer completions a second that the decode engines' links can carry
 * @param decode completions a second that the decode engines can generate
 * @since 0.1
 */
public record Capacity(double prefill, double transfer, double decode) {
  private static final int SAMPLES = 20_000;
  private static final long SEED = 20_260_101L;

  /**
   * Computes the capacity of a scenario.
   *
   * @param scenario the scenario
   * @return the capacity
   */
  public static Capacity of(Scenario scenario) {
    if (scenario.classes().stream().allMatch(Scenario.RequestClass::plain)) {
      return new Capacity(0, 0, 0);
    }
    SplittableRandom random = new SplittableRandom(SEED);
    double prompt = 0;
    double output = 0;
    for (int i = 0; i < SAMPLES; i++) {
      Arrival sample = Traffic.sample(scenario, random);
      prompt += sample.prompt();
      output += sample.output();
    }
    prompt /= SAMPLES;
    output /= SAMPLES;
    double tokens = 0;
    double bytes = 0;
    double generated = 0;
    for (Member member : Members.all(scenario)) {
      boolean decodes = member.group().role() == Role.DECODE;
      tokens += member.group().tokensPerSecond();
      bytes += decodes ? member.group().linkBytesPerSecond() : 0;
      generated += decodes ? member.group().decodeTokensPerSecond() : 0;
    }
    return new Capacity(
        tokens / prompt, bytes / (prompt * scenario.kvBytesPerToken()), generated / output);
  }

  /**
   * The scarcest of the three.
   *
   * @return completions a second
   */
  public double completionsPerSecond() {
    return Math.min(prefill, Math.min(transfer, decode));
  }
}
