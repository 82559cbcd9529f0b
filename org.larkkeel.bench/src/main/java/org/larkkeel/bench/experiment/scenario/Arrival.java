/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import java.util.Optional;
import org.larkkeel.bench.experiment.scenario.Scenario.RequestClass;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.call.RunKey;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * One request of the traffic, with what no router knows beforehand.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param index its number from 0 in the order of arrival
 * @param at when it arrives
 * @param kind its class
 * @param prompt prompt tokens
 * @param output tokens that it will generate
 * @param prefixes keys of its prompt's prefixes
 * @param workspace its workspace
 * @param leavesAt when its caller leaves; {@link Long#MAX_VALUE} if it stays
 * @param runKey the key under which it may run once; empty if it may run again
 * @since 0.1
 */
public record Arrival(
    int index,
    long at,
    RequestClass kind,
    int prompt,
    int output,
    PrefixKeys prefixes,
    WorkspaceName workspace,
    long leavesAt,
    Optional<RunKey> runKey) {

  /**
   * The id of the request at its node.
   *
   * @return the id
   */
  public RequestId id() {
    return new RequestId(index + 1);
  }

  /**
   * The time by which the answer has to be complete to count: targets, deadline and the caller's
   * patience together.
   *
   * @return the time
   */
  public long latestEnd() {
    long targets = kind.plain() ? kind.firstToken() : completionTargets();
    return Math.min(leavesAt, at + Math.min(targets, kind.deadline()));
  }

  /**
   * What the router sees.
   *
   * @return the call
   */
  public Call call() {
    if (kind.plain()) {
      String path = "/" + kind.name() + (runKey.isPresent() ? "/once" : "/read");
      return new Call.Plain(id(), workspace, runKey, path, runKey.isEmpty(), 0);
    }
    return new Call.Completion(
        id(), workspace, runKey, new ModelName(kind.name()), prompt, kind.maxTokens(), prefixes, 0);
  }

  private long completionTargets() {
    return kind.firstToken() + (output - 1) * kind.betweenTokens();
  }
}
