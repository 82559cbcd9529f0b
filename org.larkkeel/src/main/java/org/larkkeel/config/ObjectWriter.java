/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.Labels;

/**
 * Writes configuration objects as JSON, with the keys in a fixed order and including those that
 * have their default.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ObjectWriter {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private ObjectWriter() {}

  /**
   * Converts a complete configuration to JSON.
   *
   * @param configuration the configuration, never null
   * @return a new JSON tree; the revision is left out if it is {@link
   *     org.larkkeel.lib.Revision#NONE}
   */
  public static ObjectNode toJson(Configuration configuration) {
    ObjectNode node = NODES.objectNode();
    if (configuration.revision().value() > 0) {
      node.put(ConfigurationKeys.REVISION, configuration.revision().value());
    }
    for (ObjectKind kind : ObjectKind.values()) {
      ObjectNode section = node.putObject(kind.section());
      for (ConfigurationObject object : ConfigurationObjects.ofKind(configuration, kind)) {
        section.set(object.id().name(), toJson(object));
      }
    }
    return node;
  }

  /**
   * Converts one object to JSON, without its name.
   *
   * @param object the object, never null
   * @return a new JSON tree
   */
  public static ObjectNode toJson(ConfigurationObject object) {
    return switch (object) {
      case Upstream upstream -> writeUpstream(upstream);
      case Pool pool -> writePool(pool);
      case Rule rule -> writeRule(rule);
      case Workspace workspace -> writeWorkspace(workspace);
    };
  }

  private static ObjectNode writeUpstream(Upstream upstream) {
    ObjectNode node = NODES.objectNode();
    node.put(ConfigurationKeys.ADDRESS, upstream.address());
    node.set(ConfigurationKeys.LABELS, writeLabels(upstream.labels()));
    ArrayNode models = node.putArray(ConfigurationKeys.MODELS);
    upstream.models().stream().sorted().forEach(model -> models.add(model.value()));
    node.put(ConfigurationKeys.SLOTS, upstream.slots());
    node.put(ConfigurationKeys.FENCING, Slugs.of(upstream.fencing()));
    node.put(ConfigurationKeys.LINK_BYTES_PER_SECOND, upstream.linkBytesPerSecond());
    return node;
  }

  private static ObjectNode writePool(Pool pool) {
    ObjectNode node = NODES.objectNode();
    node.put(ConfigurationKeys.ROLE, Slugs.of(pool.role()));
    node.set(ConfigurationKeys.LABELS, writeLabels(pool.labels()));
    node.put(ConfigurationKeys.UPSTREAMS, pool.upstreams().toString());
    return node;
  }

  private static ObjectNode writeRule(Rule rule) {
    ObjectNode node = NODES.objectNode();
    node.set(ConfigurationKeys.LABELS, writeLabels(rule.labels()));
    node.put(ConfigurationKeys.PRIORITY, rule.priority());
    ObjectNode match = node.putObject(ConfigurationKeys.MATCH);
    rule.match().model().ifPresent(m -> match.put(ConfigurationKeys.MODEL, m.value()));
    rule.match().pathPrefix().ifPresent(p -> match.put(ConfigurationKeys.PATH_PREFIX, p));
    match.put(ConfigurationKeys.WORKSPACES, rule.match().workspaces().toString());
    node.put(ConfigurationKeys.POOLS, rule.pools().toString());
    node.put(ConfigurationKeys.URGENCY, Slugs.of(rule.urgency()));
    ObjectNode targets = node.putObject(ConfigurationKeys.TARGETS);
    targets.put(ConfigurationKeys.FIRST_TOKEN_MILLIS, rule.targets().firstToken().toMillis());
    targets.put(ConfigurationKeys.BETWEEN_TOKENS_MILLIS, rule.targets().betweenTokens().toMillis());
    targets.put(ConfigurationKeys.DEADLINE_MILLIS, rule.targets().deadline().toMillis());
    node.put(ConfigurationKeys.REPEATABILITY, Slugs.of(rule.repeatability()));
    node.put(ConfigurationKeys.MAX_ATTEMPTS, rule.maxAttempts());
    return node;
  }

  private static ObjectNode writeWorkspace(Workspace workspace) {
    ObjectNode node = NODES.objectNode();
    node.set(ConfigurationKeys.LABELS, writeLabels(workspace.labels()));
    ObjectNode limits = node.putObject(ConfigurationKeys.LIMITS);
    Limits values = workspace.limits();
    limits.put(ConfigurationKeys.REQUESTS_PER_SECOND, values.requestsPerSecond());
    limits.put(ConfigurationKeys.PROMPT_TOKENS_PER_SECOND, values.promptTokensPerSecond());
    limits.put(ConfigurationKeys.CONCURRENCY, values.concurrency());
    workspace.tokenSha256().ifPresent(t -> node.put(ConfigurationKeys.TOKEN_SHA256, t));
    return node;
  }

  private static ObjectNode writeLabels(Labels labels) {
    ObjectNode node = NODES.objectNode();
    labels.entries().forEach(node::put);
    return node;
  }
}
