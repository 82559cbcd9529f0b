/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationKeys;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.ObjectWriter;
import org.larkkeel.http.operator.OperatorCodec;

/** Shows one object with all of its fields and its related objects. */
@CommandInfo(
    name = "describe",
    summary = "Shows one object with every field, and which objects it selects or is selected by.",
    example = "larkkeel describe pool telar-decode")
final class DescribeCommand extends Command {
  @Argument(
      index = 0,
      metaVar = "KIND",
      required = true,
      usage = "upstream, pool, rule or workspace")
  private String kind;

  @Argument(index = 1, metaVar = "NAME", required = true, usage = "the name of the object")
  private String name;

  @Override
  protected ExitCode run() {
    ObjectKind objectKind = Arguments.parseKind(kind);
    Configuration current = client().configuration();
    ConfigurationObject object = Arguments.findObject(current, objectKind, name);
    Map<ObjectKind, ImmutableList<String>> relations = Relations.relatedTo(current, object);
    if (isJson()) {
      out().println(OperatorCodec.writePretty(toJson(object, relations)));
      return ExitCode.OK;
    }
    out().println(object.id());
    out().println(OperatorCodec.writePretty(ObjectWriter.toJson(object)));
    relations.forEach(
        (related, names) -> out().println(related.section() + ": " + String.join(", ", names)));
    return ExitCode.OK;
  }

  private static ObjectNode toJson(
      ConfigurationObject object, Map<ObjectKind, ImmutableList<String>> relations) {
    ObjectNode spec = ObjectWriter.toJson(object);
    ObjectNode node = spec.objectNode();
    node.put(ConfigurationKeys.KIND, object.id().kind().slug());
    node.put(ConfigurationKeys.NAME, object.id().name());
    node.set(ConfigurationKeys.SPEC, spec);
    ObjectNode related = node.putObject("related");
    relations.forEach(
        (kind, names) -> {
          ArrayNode array = related.putArray(kind.section());
          names.forEach(array::add);
        });
    return node;
  }
}
