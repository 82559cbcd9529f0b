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
 * The fluid limits: the rates of completions at which one resource is fully utilized.
 *
 * <p>Prompts count in full, as if no prefix were cached. Immutable and safe for use by several
 * threads.
 *
 * @param prefill completions per second that the prefill engines can compute
 * @param transfer completions per second that the decode engines' links can carry
 * @param decode completions per second that the decode engines can generate
 * @since 0.1
 */
public record Capacity(double prefill, double transfer, double decode) {
  private static final int SAMPLE_COUNT = 20_000;
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
    double meanPrompt = 0;
    double meanOutput = 0;
    for (int i = 0; i < SAMPLE_COUNT; i++) {
      Arrival sample = Traffic.sample(scenario, random);
      meanPrompt += sample.prompt();
      meanOutput += sample.output();
    }
    meanPrompt /= SAMPLE_COUNT;
    meanOutput /= SAMPLE_COUNT;
    double prefillTokensPerSecond = 0;
    double linkBytesPerSecond = 0;
    double decodeTokensPerSecond = 0;
    for (Member member : Members.all(scenario)) {
      boolean decodes = member.group().role() == Role.DECODE;
      prefillTokensPerSecond += member.group().tokensPerSecond();
      linkBytesPerSecond += decodes ? member.group().linkBytesPerSecond() : 0;
      decodeTokensPerSecond += decodes ? member.group().decodeTokensPerSecond() : 0;
    }
    return new Capacity(
        prefillTokensPerSecond / meanPrompt,
        linkBytesPerSecond / (meanPrompt * scenario.kvBytesPerToken()),
        decodeTokensPerSecond / meanOutput);
  }

  /**
   * Returns the limit of the scarcest resource.
   *
   * @return completions per second
   */
  public double completionsPerSecond() {
    return Math.min(prefill, Math.min(transfer, decode));
  }
}
