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
 * One request of the traffic, including properties that no router knows in advance.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param index the position in the order of arrival, from 0
 * @param at the time of arrival in nanoseconds
 * @param kind the class of the request
 * @param prompt the number of prompt tokens
 * @param output the number of tokens that will be generated
 * @param prefixes the keys of the prompt's prefixes
 * @param workspace the workspace of the request
 * @param leavesAt the time at which the caller disconnects; {@link Long#MAX_VALUE} if never
 * @param runKey the key of a request that may run at most once; empty if it may run again
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
   * Returns the id of the request at its node.
   *
   * @return the id
   */
  public RequestId id() {
    return new RequestId(index + 1);
  }

  /**
   * Returns the latest time of a complete answer that can be good, as limited by the targets, the
   * deadline and the time at which the caller disconnects.
   *
   * @return the time
   */
  public long latestEnd() {
    long targets = kind.plain() ? kind.firstToken() : completionTargets();
    return Math.min(leavesAt, at + Math.min(targets, kind.deadline()));
  }

  /**
   * Returns the request as the router receives it.
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
