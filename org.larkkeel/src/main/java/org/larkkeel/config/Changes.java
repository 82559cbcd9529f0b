/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.larkkeel.lib.Labels;

/**
 * Applies changes to configurations.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Changes {
  private Changes() {}

  /**
   * Applies a change that is proposed, and checks the result.
   *
   * @param configuration the configuration to change; left as it is
   * @param change the change
   * @return the new configuration, with the old revision until the log has numbered it; or every
   *     problem
   */
  public static Checked<Configuration> apply(Configuration configuration, Change change) {
    ConfigurationBuilder builder = new ConfigurationBuilder(configuration);
    ImmutableList.Builder<Problem> problems = ImmutableList.builder();
    for (Operation operation : change.operations()) {
      step(builder, operation).ifPresent(problems::add);
    }
    Configuration changed = builder.build();
    Problems steps = new Problems(problems.build());
    return Checked.of(changed, steps.plus(ConfigurationChecks.check(changed)));
  }

  /**
   * Applies a change that the log has accepted. What was accepted is never refused later, so that
   * every node reaches the same configuration whatever its version checks.
   *
   * @param configuration the configuration before the change
   * @param change the accepted change
   * @return the configuration after it, with the old revision
   */
  public static Configuration replay(Configuration configuration, Change change) {
    ConfigurationBuilder builder = new ConfigurationBuilder(configuration);
    change.operations().forEach(operation -> step(builder, operation));
    return builder.build();
  }

  /**
   * Finds a change that was accepted after the base of another and touches the same.
   *
   * <p>Two label operations on one object conflict only if they touch the same key.
   *
   * @param change the proposed change
   * @param accepted the changes accepted after {@link Change#base()}, oldest first
   * @return the first that conflicts, empty if the change may be applied after all of them
   */
  public static Optional<Change> findConflict(Change change, List<Change> accepted) {
    return accepted.stream()
        .filter(other -> !other.id().equals(change.id()))
        .filter(other -> conflicts(change, other))
        .findFirst();
  }

  private static boolean conflicts(Change a, Change b) {
    Map<ObjectId, List<Operation>> byTarget =
        b.operations().stream().collect(Collectors.groupingBy(Operation::target));
    return a.operations().stream()
        .anyMatch(
            operation ->
                byTarget.getOrDefault(operation.target(), List.of()).stream()
                    .anyMatch(other -> conflicts(operation, other)));
  }

  private static boolean conflicts(Operation a, Operation b) {
    if (a instanceof Operation.Label x && b instanceof Operation.Label y) {
      return !Sets.intersection(touched(x), touched(y)).isEmpty();
    }
    return true;
  }

  private static Sets.SetView<String> touched(Operation.Label label) {
    return Sets.union(label.set().keySet(), label.remove());
  }

  private static Optional<Problem> step(ConfigurationBuilder builder, Operation operation) {
    Optional<ConfigurationObject> present = builder.get(operation.target());
    return switch (operation) {
      case Operation.Put put -> {
        builder.put(put.object());
        yield Optional.empty();
      }
      case Operation.Delete delete -> {
        builder.remove(delete.target());
        yield missing(present, delete);
      }
      case Operation.Label label -> {
        present.ifPresent(object -> builder.put(relabel(object, label)));
        yield missing(present, label);
      }
    };
  }

  private static Optional<Problem> missing(
      Optional<ConfigurationObject> present, Operation operation) {
    if (present.isPresent()) {
      return Optional.empty();
    }
    return Optional.of(
        Problem.error(
            operation.target().path(),
            "",
            "there is no " + operation.target(),
            "check the name, or read the configuration again"));
  }

  private static ConfigurationObject relabel(ConfigurationObject object, Operation.Label label) {
    Map<String, String> labels = new TreeMap<>(object.labels().entries());
    labels.putAll(label.set());
    labels.keySet().removeAll(label.remove());
    return object.withLabels(Labels.of(labels));
  }
}
