/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests of {@link Main}. */
public class MainTest {
  private static final class Output {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);

    @Override
    public String toString() {
      return bytes.toString(StandardCharsets.UTF_8);
    }
  }

  /** Invalid options. */
  public static class Usage {
    @Test
    public void unknownOptionIsNamedWithExitTwo() {
      Output err = new Output();
      assertEquals(Main.run(new String[] {"--conf", "x"}, new Output().stream, err.stream), 2);
      assertTrue(err.toString().contains("\"--conf\""), err.toString());
      assertTrue(err.toString().contains("--config FILE"), err.toString());
    }

    @Test
    public void missingFileIsNamedWithExitTwo() {
      Output err = new Output();
      String[] args = {"--config", "/nonexistent/node.json"};
      assertEquals(Main.run(args, new Output().stream, err.stream), 2);
      assertTrue(err.toString().contains("/nonexistent/node.json"), err.toString());
    }
  }

  /** Options that print. */
  public static class Print {
    @Test
    public void settingsPageContainsPrintedDefaults() throws IOException {
      Output out = new Output();
      Main.run(new String[] {"--print-default-config"}, out.stream, new Output().stream);
      String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
      assertTrue(
          page.contains(out.toString()), "docs/SETTINGS.md does not contain the printed defaults");
    }

    @Test
    public void defaultsExplainEverySetting() {
      Output out = new Output();
      assertEquals(
          Main.run(new String[] {"--print-default-config"}, out.stream, new Output().stream), 0);
      assertTrue(out.toString().startsWith("// Settings of larkkeeld."), out.toString());
      assertTrue(out.toString().contains("\"pollMillis\""), out.toString());
    }
  }
}
