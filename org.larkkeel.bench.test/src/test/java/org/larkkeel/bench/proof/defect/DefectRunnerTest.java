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

/** Planted defects; the command runs all of them. */
public class DefectRunnerTest {
  private static final Path ROOT = Path.of("..");

  /** A share of the defects. */
  public static class Share {
    @Test
    public void isCaught() throws Exception {
      ImmutableSet<String> titles =
          ImmutableSet.of("cancel not repeated", "claimed run repeated after it may have run");
      var outcomes = new DefectRunner(ROOT).run(titles);
      assertEquals(outcomes.size(), titles.size());
      outcomes.forEach(o -> assertTrue(o.caughtBy().orElse("").contains(" broke "), o.toString()));
    }
  }
}
