/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.larkkeel.bench.experiment.fleet.FleetExperiment;
import org.larkkeel.bench.experiment.fleet.FleetScenario;
import org.larkkeel.bench.experiment.fleet.FleetScenarioReader;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.ScenarioException;
import org.larkkeel.bench.experiment.scenario.ScenarioReader;
import org.slf4j.LoggerFactory;

/**
 * The command {@code experiment}: {@code --scenario FILE} compares policies of the router, {@code
 * --fleet FILE} runs a whole fleet of relay nodes.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ExperimentCommand {
  private static final int OK = 0;
  private static final int VIOLATIONS = 1;
  private static final int USAGE = 2;

  @Option(name = "--scenario", metaVar = "FILE", usage = "the scenario, JSON with comments")
  private Path scenarioFile;

  @Option(name = "--fleet", metaVar = "FILE", usage = "a fleet of relay nodes instead")
  private Path fleetFile;

  @Option(name = "--output", metaVar = "FOLDER", usage = "writes result and plot there")
  private Path outputFolder;

  @Option(name = "--policies", metaVar = "A,B", usage = "runs these instead of the scenario's")
  private String policies;

  @Option(name = "--loads", metaVar = "X,Y", usage = "runs these instead of the scenario's")
  private String loads;

  @Option(name = "--seeds", metaVar = "N", usage = "runs only the first N seeds")
  private int seeds;

  @Option(name = "--threads", metaVar = "N", usage = "runs at once, default 2")
  private int threads = 2;

  @Option(name = "--list", usage = "prints the names of the policies")
  private boolean listsPolicies;

  private final PrintStream out;

  ExperimentCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the command and exits with 0, with 1 if a run has violations, or with 2 for invalid usage.
   *
   * @param args the arguments
   */
  public static void main(String[] args) {
    System.exit(new ExperimentCommand(System.out).run(args));
  }

  int run(String... args) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
      if (listsPolicies) {
        RoutingPolicies.names().forEach(out::println);
        return OK;
      }
      if (fleetFile != null) {
        return runFleet();
      }
      if (scenarioFile == null) {
        throw new ScenarioException(
            "--scenario is missing: name a scenario file, or a fleet with --fleet");
      }
      Scenario scenario =
          Overrides.apply(
              ScenarioReader.read(
                  Files.readString(scenarioFile), RoutingPolicies.names()::contains),
              policies,
              loads,
              seeds);
      return run(scenario);
    } catch (CmdLineException | ScenarioException e) {
      out.println(e.getMessage());
      return USAGE;
    } catch (IOException e) {
      out.println("cannot read or write " + e.getMessage() + ": check the path");
      return USAGE;
    }
  }

  private int run(Scenario scenario) throws IOException {
    Experiment experiment = new Experiment(scenario);
    List<RunResult> results = experiment.runAll(Math.max(1, threads));
    List<Summary> summaries = Summary.of(results);
    new Report(scenario, experiment.capacity(), summaries).print(out);
    if (outputFolder != null) {
      ResultWriter.write(outputFolder, scenario, experiment.capacity(), summaries, results);
      Plot.write(outputFolder, scenario, summaries);
    }
    boolean hasViolations = results.stream().anyMatch(r -> !r.violations().isEmpty());
    return hasViolations ? VIOLATIONS : OK;
  }

  private int runFleet() throws IOException {
    FleetScenario scenario = FleetScenarioReader.read(Files.readString(fleetFile));
    // Each simulated node logs like a real process, which is too much output for a fleet.
    ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
    FleetExperiment experiment = new FleetExperiment(scenario, Math.max(1, seeds));
    FleetExperiment.print(experiment.runAll(Math.max(1, threads)), out);
    return OK;
  }
}
