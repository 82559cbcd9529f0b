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
   * Applies a proposed change and validates the result.
   *
   * @param configuration the configuration to change; not modified
   * @param change the change
   * @return the new configuration, which keeps the old revision until the log assigns a new one; or
   *     all problems found
   */
  public static Checked<Configuration> apply(Configuration configuration, Change change) {
    ConfigurationBuilder builder = new ConfigurationBuilder(configuration);
    ImmutableList.Builder<Problem> problems = ImmutableList.builder();
    for (Operation operation : change.operations()) {
      applyOperation(builder, operation).ifPresent(problems::add);
    }
    Configuration changed = builder.build();
    Problems operationProblems = new Problems(problems.build());
    return Checked.of(changed, operationProblems.plus(ConfigurationChecks.check(changed)));
  }

  /**
   * Applies a change that the log has accepted. An accepted change is never refused, so that all
   * nodes reach the same configuration even if their versions of the software check differently. An
   * operation on a missing object has no effect.
   *
   * @param configuration the configuration before the change
   * @param change the accepted change
   * @return the configuration after the change, with the old revision
   */
  public static Configuration replay(Configuration configuration, Change change) {
    ConfigurationBuilder builder = new ConfigurationBuilder(configuration);
    change.operations().forEach(operation -> applyOperation(builder, operation));
    return builder.build();
  }

  /**
   * Finds the first accepted change that conflicts with a proposed one, that is, changes one of the
   * same objects.
   *
   * <p>Two label operations on one object conflict only if they set or remove the same key. An
   * accepted change with the id of the proposed one is that change itself and no conflict.
   *
   * @param change the proposed change
   * @param accepted the changes accepted after {@link Change#base()}, oldest first
   * @return the first conflicting change; empty if the proposed change may be applied after all
   *     accepted ones
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
      return !Sets.intersection(affectedKeys(x), affectedKeys(y)).isEmpty();
    }
    return true;
  }

  private static Sets.SetView<String> affectedKeys(Operation.Label label) {
    return Sets.union(label.set().keySet(), label.remove());
  }

  private static Optional<Problem> applyOperation(
      ConfigurationBuilder builder, Operation operation) {
    Optional<ConfigurationObject> target = builder.get(operation.target());
    return switch (operation) {
      case Operation.Put put -> {
        builder.put(put.object());
        yield Optional.empty();
      }
      case Operation.Delete delete -> {
        builder.remove(delete.target());
        yield missingTarget(target, delete);
      }
      case Operation.Label label -> {
        target.ifPresent(object -> builder.put(relabel(object, label)));
        yield missingTarget(target, label);
      }
    };
  }

  private static Optional<Problem> missingTarget(
      Optional<ConfigurationObject> target, Operation operation) {
    if (target.isPresent()) {
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
