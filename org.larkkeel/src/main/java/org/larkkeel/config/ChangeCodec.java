/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import static org.larkkeel.config.ConfigurationKeys.AT_MILLIS;
import static org.larkkeel.config.ConfigurationKeys.AUTHOR;
import static org.larkkeel.config.ConfigurationKeys.BASE;
import static org.larkkeel.config.ConfigurationKeys.ID;
import static org.larkkeel.config.ConfigurationKeys.KIND;
import static org.larkkeel.config.ConfigurationKeys.NAME;
import static org.larkkeel.config.ConfigurationKeys.OPERATIONS;
import static org.larkkeel.config.ConfigurationKeys.REASON;
import static org.larkkeel.config.ConfigurationKeys.REMOVE;
import static org.larkkeel.config.ConfigurationKeys.SET;
import static org.larkkeel.config.ConfigurationKeys.SPEC;
import static org.larkkeel.config.ConfigurationKeys.TYPE;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Optional;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Names;
import org.larkkeel.lib.Revision;

/**
 * Reads and writes changes as JSON, for the operators' API and the payload of entries in the
 * configuration log.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ChangeCodec {
  private static final ImmutableSet<String> CHANGE_KEYS =
      ImmutableSet.of(ID, AUTHOR, AT_MILLIS, REASON, BASE, OPERATIONS);
  private static final ImmutableSet<String> OPERATION_KEYS =
      ImmutableSet.of(TYPE, KIND, NAME, SPEC, SET, REMOVE);

  /** The types of operations in JSON. */
  private enum OperationType {
    PUT,
    DELETE,
    LABEL
  }

  private ChangeCodec() {}

  /**
   * Converts a change to JSON.
   *
   * @param change the change, never null
   * @return a new JSON tree
   */
  public static ObjectNode toJson(Change change) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put(ID, change.id().value());
    node.put(AUTHOR, change.author());
    node.put(AT_MILLIS, change.atMillis());
    node.put(REASON, change.reason());
    node.put(BASE, change.base().value());
    ArrayNode operations = node.putArray(OPERATIONS);
    change.operations().forEach(operation -> write(operation, operations.addObject()));
    return node;
  }

  private static void write(Operation operation, ObjectNode node) {
    OperationType type =
        switch (operation) {
          case Operation.Put put -> OperationType.PUT;
          case Operation.Delete delete -> OperationType.DELETE;
          case Operation.Label label -> OperationType.LABEL;
        };
    node.put(TYPE, Slugs.of(type));
    node.put(KIND, operation.target().kind().slug());
    node.put(NAME, operation.target().name());
    if (operation instanceof Operation.Put put) {
      node.set(SPEC, ObjectWriter.toJson(put.object()));
    }
    if (operation instanceof Operation.Label label) {
      ObjectNode set = node.putObject(SET);
      label.set().forEach(set::put);
      ArrayNode remove = node.putArray(REMOVE);
      label.remove().forEach(remove::add);
    }
  }

  /**
   * Parses a proposed change. An unknown key is an error.
   *
   * @param source the file or other origin, named in problems
   * @param text the JSON
   * @return the change, or all problems found
   */
  public static Checked<Change> read(String source, String text) {
    return read(text, new ProblemCollector(source, Severity.ERROR));
  }

  private static Checked<Change> read(String text, ProblemCollector problems) {
    Optional<Change> change =
        new LocatedValueParser(problems).parse(text).flatMap(root -> readChange(root, problems));
    return Checked.of(change.orElse(null), problems.build());
  }

  /**
   * Parses a change that the log has accepted. Unknown keys are only warnings, since a later
   * version of the software may have written them.
   *
   * @param source the file or other origin, named in problems
   * @param text the JSON
   * @return the change, or all problems found
   */
  public static Checked<Change> readAccepted(String source, String text) {
    return read(text, new ProblemCollector(source, Severity.WARNING));
  }

  private static Optional<Change> readChange(LocatedValue root, ProblemCollector problems) {
    FieldReader fields = FieldReader.open(root, JsonPath.ROOT, CHANGE_KEYS, problems);
    if (fields.member(ID).isEmpty()) {
      fields.reportMissing(ID, "write an id that no other change has");
    }
    ImmutableList.Builder<Operation> operations = ImmutableList.builder();
    fields
        .items(OPERATIONS)
        .forEach((path, item) -> readOperation(item, path, problems).ifPresent(operations::add));
    Optional<ChangeId> id = fields.parsed(ID, ChangeId::new, "write a valid name");
    String author = fields.text(AUTHOR).orElse("");
    long atMillis = fields.wholeNumber(AT_MILLIS, 0, Long.MAX_VALUE, 0);
    String reason = fields.text(REASON).orElse("");
    Revision base = new Revision(fields.wholeNumber(BASE, 0, Long.MAX_VALUE, 0));
    return id.map(i -> new Change(i, author, atMillis, reason, base, operations.build()));
  }

  private static Optional<Operation> readOperation(
      LocatedValue item, JsonPath path, ProblemCollector problems) {
    FieldReader fields = FieldReader.open(item, path, OPERATION_KEYS, problems);
    Optional<OperationType> type = fields.requiredChoice(TYPE, OperationType.class);
    Optional<ObjectKind> kind = fields.requiredChoice(KIND, ObjectKind.class);
    Optional<String> name =
        fields
            .requiredText(NAME, "name the object")
            .flatMap(t -> fields.parsed(NAME, n -> Names.check("it", n), "write a valid name"));
    if (type.isEmpty() || kind.isEmpty() || name.isEmpty()) {
      return Optional.empty();
    }
    ObjectId target = new ObjectId(kind.get(), name.get());
    return switch (type.get()) {
      case PUT -> readPut(target, fields, problems);
      case DELETE -> Optional.of(new Operation.Delete(target));
      case LABEL ->
          Optional.of(
              new Operation.Label(
                  target,
                  fields.labels(SET).entries(),
                  ImmutableSortedSet.copyOf(fields.names(REMOVE))));
    };
  }

  private static Optional<Operation> readPut(
      ObjectId target, FieldReader fields, ProblemCollector problems) {
    Optional<LocatedValue> spec = fields.member(SPEC);
    if (spec.isEmpty()) {
      fields.reportMissing(SPEC, "write the object");
      return Optional.empty();
    }
    return new ObjectReader(problems)
        .read(target, spec.get(), fields.path().child(SPEC))
        .map(Operation.Put::new);
  }
}
