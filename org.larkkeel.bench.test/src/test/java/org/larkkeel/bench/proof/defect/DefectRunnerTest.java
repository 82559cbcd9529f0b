/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests of {@link DefectRunner}. The command {@code ./faults --defects} runs all defects. */
public class DefectRunnerTest {
  private static final Path ROOT = Path.of("..");

  /** Checks that the fault matrix detects a sample of the defects. */
  public static class DefectSample {
    @Test
    public void isDetected() throws Exception {
      ImmutableSet<String> titles =
          ImmutableSet.of("cancel not repeated", "claimed run repeated after it may have run");
      var outcomes = new DefectRunner(ROOT).run(titles);
      assertEquals(outcomes.size(), titles.size());
      outcomes.forEach(o -> assertTrue(o.caughtBy().orElse("").contains(" broke "), o.toString()));
    }
  }
}
