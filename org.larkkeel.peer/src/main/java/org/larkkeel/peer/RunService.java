/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.concurrent.CompletableFuture;
import org.larkkeel.peer.gen.WireClaimAnswer;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;

/**
 * Answers peers that claim runs, or record their end, where this node owns the records of the run.
 *
 * <p>Called by several threads at once; does not block.
 *
 * @since 0.1
 */
public interface RunService {
  /** A service that owns no records. */
  RunService NONE =
      new RunService() {
        @Override
        public CompletableFuture<WireClaimReply> claim(WireRunClaim claim) {
          return CompletableFuture.completedFuture(new WireClaimReply(WireClaimAnswer.NOT_OWNER));
        }

        @Override
        public CompletableFuture<WireRecordAnswer> record(WireRunRecord end) {
          return CompletableFuture.completedFuture(WireRecordAnswer.NOT_OWNER);
        }
      };

  /**
   * Claims a run.
   *
   * @param claim the claim; may be repeated
   * @return the answer
   */
  CompletableFuture<WireClaimReply> claim(WireRunClaim claim);

  /**
   * Records the end of a run.
   *
   * @param end the end of the run; may be repeated
   * @return the answer
   */
  CompletableFuture<WireRecordAnswer> record(WireRunRecord end);
}
