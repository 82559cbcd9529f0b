/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;

/**
 * A request to the reservation coordinator for memory for a call.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param call the id of the call on its node
 * @param wireId the caller's id of the call
 * @param service the service whose upstreams may run the call
 * @param units the tokens to reserve, above 0
 * @param prompt the prompt tokens that a prefill upstream reads first; 0 for none
 * @param firstTry true if the caller has not been refused before
 * @param streaming true if the caller has the beginning of a stream that is to be continued
 * @param waitedMillis the time since the call arrived
 * @param targetMillis the latency target, counted from the call's arrival
 * @param promptKey identifies the prompt
 * @param excluded the upstreams that the call excludes; in a request that was received, also those
 *     that its node would not choose for any call
 * @param rank the rank of the call; {@link CallRank#LOWEST} if the node does not name it
 * @param workspace the workspace of the call; empty for an anonymous call or if the node does not
 *     name it
 * @param terms what is known of the caller; empty for a call that may have run or whose service is
 *     not ranked, and from an older node
 * @param build the only build of upstreams that may run the call, as it began its stream; empty if
 *     any may
 * @since 0.1
 */
public record ReservationRequest(
    RequestId call,
    String wireId,
    ServiceName service,
    long units,
    long prompt,
    boolean firstTry,
    boolean streaming,
    long waitedMillis,
    long targetMillis,
    PromptKey promptKey,
    ImmutableSet<UpstreamIncarnation> excluded,
    CallRank rank,
    Optional<WorkspaceName> workspace,
    Optional<RequestTerms> terms,
    Optional<BuildName> build) {
  /** Returns this request with further excluded upstreams. */
  public ReservationRequest withExcluded(ImmutableSet<UpstreamIncarnation> further) {
    if (further.isEmpty()) {
      return this;
    }
    return new ReservationRequest(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded.isEmpty()
            ? further
            : ImmutableSet.<UpstreamIncarnation>builder().addAll(excluded).addAll(further).build(),
        rank,
        workspace,
        terms,
        build);
  }

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public ReservationRequest {
    if (units <= 0 || prompt < 0 || waitedMillis < 0 || targetMillis < 0) {
      throw new IllegalArgumentException(
          "the reservation request for call "
              + call
              + " has units below 1 or a negative number: use 1 or more units and 0 or more"
              + " otherwise");
    }
  }

  /** Creates a request that any build may run. */
  public ReservationRequest(
      RequestId call,
      String wireId,
      ServiceName service,
      long units,
      long prompt,
      boolean firstTry,
      boolean streaming,
      long waitedMillis,
      long targetMillis,
      PromptKey promptKey,
      ImmutableSet<UpstreamIncarnation> excluded,
      CallRank rank,
      Optional<WorkspaceName> workspace,
      Optional<RequestTerms> terms) {
    this(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded,
        rank,
        workspace,
        terms,
        Optional.empty());
  }

  /** Creates the request of a node that names neither rank, workspace nor terms. */
  public ReservationRequest(
      RequestId call,
      String wireId,
      ServiceName service,
      long units,
      long prompt,
      boolean firstTry,
      boolean streaming,
      long waitedMillis,
      long targetMillis,
      PromptKey promptKey,
      ImmutableSet<UpstreamIncarnation> excluded) {
    this(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded,
        CallRank.LOWEST,
        Optional.empty(),
        Optional.empty());
  }

  /** Returns this request with a rank and a workspace. */
  public ReservationRequest withRank(CallRank newRank, Optional<WorkspaceName> newWorkspace) {
    return new ReservationRequest(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded,
        newRank,
        newWorkspace,
        terms,
        build);
  }

  /** Returns this request with what is known of the caller. */
  public ReservationRequest withTerms(Optional<RequestTerms> newTerms) {
    return new ReservationRequest(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded,
        rank,
        workspace,
        newTerms,
        build);
  }

  /** Returns this request restricted to a build. */
  public ReservationRequest withBuild(Optional<BuildName> newBuild) {
    return new ReservationRequest(
        call,
        wireId,
        service,
        units,
        prompt,
        firstTry,
        streaming,
        waitedMillis,
        targetMillis,
        promptKey,
        excluded,
        rank,
        workspace,
        terms,
        newBuild);
  }
}
