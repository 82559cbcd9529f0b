/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.larkkeel.cli.command.Environment;
import org.larkkeel.cli.errors.ExitCode;
import org.testng.annotations.Test;

/** Tests that {@code explain-log} selects the lines of one call from several logs. */
public class ExplainLogTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private static String line(int second, String rest) {
    return "time=2026-01-01T00:00:%02d.000Z level=INFO logger=relay %s%n".formatted(second, rest);
  }

  private ExitCode runCommand(String... arguments) {
    Environment environment =
        new Environment(
            InputStream.nullInputStream(),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            name -> null);
    return new Cli(environment).run(List.of(arguments));
  }

  @Test
  public void selectsLinesOfCallAndOfItsUpstreamsStates() throws IOException {
    Path folder = Files.createTempDirectory("larkkeel");
    Path first = folder.resolve("node-1.log");
    Path second = folder.resolve("node-2.log");
    Files.writeString(
        first,
        line(1, "event=ejected upstream=i-1 cause=NOT_SENT for_ms=1000")
            + line(20, "event=ejected upstream=i-1 cause=TIMED_OUT for_ms=1000")
            + line(20, "event=ejected upstream=i-9 cause=TIMED_OUT for_ms=1000")
            + line(21, "event=placed call=abc attempt=1 upstream=i-1")
            + line(21, "event=placed call=abcd attempt=2 upstream=i-1"));
    Files.writeString(
        second,
        line(20, "event=ejected upstream=i-1 cause=TIMED_OUT for_ms=1000")
            + line(22, "event=answered call=other"));
    assertEquals(
        runCommand("explain-log", "abc", first.toString(), second.toString()),
        ExitCode.OK,
        err.toString(StandardCharsets.UTF_8));
    List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
    assertEquals(lines.size(), 2, lines.toString());
    assertTrue(lines.get(0).contains("event=ejected upstream=i-1 cause=TIMED_OUT"));
    assertTrue(lines.get(1).contains("call=abc "));
  }

  @Test
  public void errorNamesRemedyIfCallHasNoLine() throws IOException {
    Path log = Files.createTempFile("larkkeel", ".log");
    assertEquals(runCommand("explain-log", "abc", log.toString()), ExitCode.NOT_FOUND);
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("name the logs of all nodes"));
  }
}
