/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.call.RunKey;
import org.larkkeel.effect.RunResult;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.lib.WorkspaceName;

/**
 * A fake of the store for at-most-once runs, shared by all nodes.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class RunStore {
  private final Map<Key, State> runs = new HashMap<>();
  private int activeOutages;

  private record Key(WorkspaceName workspace, String key) {}

  private record State(long digest, ClaimOutcome claimOutcome) {}

  void startOutage() {
    activeOutages++;
  }

  void endOutage() {
    activeOutages--;
  }

  ClaimOutcome claim(WorkspaceName workspace, RunKey run) {
    if (activeOutages > 0) {
      return ClaimOutcome.UNAVAILABLE;
    }
    Key key = new Key(workspace, run.key().value());
    State state = runs.get(key);
    if (state == null) {
      runs.put(key, new State(run.bodyDigest(), ClaimOutcome.IN_PROGRESS));
      return ClaimOutcome.CLAIMED;
    }
    return state.digest == run.bodyDigest() ? state.claimOutcome : ClaimOutcome.KEY_REUSED;
  }

  RecordOutcome record(WorkspaceName workspace, RunKey run, RunResult result) {
    if (activeOutages > 0) {
      return RecordOutcome.FAILED;
    }
    Key key = new Key(workspace, run.key().value());
    State state =
        switch (result) {
          case DONE -> new State(run.bodyDigest(), ClaimOutcome.ALREADY_DONE);
          case UNKNOWN -> new State(run.bodyDigest(), ClaimOutcome.UNKNOWN);
          case NOT_RUN -> null;
        };
    if (state == null) {
      runs.remove(key);
    } else {
      runs.put(key, state);
    }
    return RecordOutcome.RECORDED;
  }
}
