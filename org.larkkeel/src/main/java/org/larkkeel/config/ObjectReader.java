/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import static org.larkkeel.config.ConfigurationKeys.ADDRESS;
import static org.larkkeel.config.ConfigurationKeys.BETWEEN_TOKENS_MILLIS;
import static org.larkkeel.config.ConfigurationKeys.CONCURRENCY;
import static org.larkkeel.config.ConfigurationKeys.DEADLINE_MILLIS;
import static org.larkkeel.config.ConfigurationKeys.FENCING;
import static org.larkkeel.config.ConfigurationKeys.FIRST_TOKEN_MILLIS;
import static org.larkkeel.config.ConfigurationKeys.LABELS;
import static org.larkkeel.config.ConfigurationKeys.LIMITS;
import static org.larkkeel.config.ConfigurationKeys.LINK_BYTES_PER_SECOND;
import static org.larkkeel.config.ConfigurationKeys.MATCH;
import static org.larkkeel.config.ConfigurationKeys.MAX_ATTEMPTS;
import static org.larkkeel.config.ConfigurationKeys.MODEL;
import static org.larkkeel.config.ConfigurationKeys.MODELS;
import static org.larkkeel.config.ConfigurationKeys.PATH_PREFIX;
import static org.larkkeel.config.ConfigurationKeys.POOLS;
import static org.larkkeel.config.ConfigurationKeys.PRIORITY;
import static org.larkkeel.config.ConfigurationKeys.PROMPT_TOKENS_PER_SECOND;
import static org.larkkeel.config.ConfigurationKeys.REPEATABILITY;
import static org.larkkeel.config.ConfigurationKeys.REQUESTS_PER_SECOND;
import static org.larkkeel.config.ConfigurationKeys.ROLE;
import static org.larkkeel.config.ConfigurationKeys.SLOTS;
import static org.larkkeel.config.ConfigurationKeys.TARGETS;
import static org.larkkeel.config.ConfigurationKeys.TOKEN_SHA256;
import static org.larkkeel.config.ConfigurationKeys.UPSTREAMS;
import static org.larkkeel.config.ConfigurationKeys.URGENCY;
import static org.larkkeel.config.ConfigurationKeys.WORKSPACES;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/** Reads single configuration objects from JSON. Not safe for use by several threads. */
final class ObjectReader {
  static final int MAX_SLOTS = 100_000;
  static final int MAX_PRIORITY = 1_000_000;
  static final int MAX_ATTEMPTS_LIMIT = 10;
  static final long MAX_DURATION_MILLIS = Duration.ofDays(1).toMillis();

  private static final ImmutableSet<String> UPSTREAM_KEYS =
      ImmutableSet.of(ADDRESS, LABELS, MODELS, SLOTS, FENCING, LINK_BYTES_PER_SECOND);
  private static final ImmutableSet<String> POOL_KEYS = ImmutableSet.of(ROLE, LABELS, UPSTREAMS);
  private static final ImmutableSet<String> RULE_KEYS =
      ImmutableSet.of(
          LABELS, PRIORITY, MATCH, POOLS, URGENCY, TARGETS, REPEATABILITY, MAX_ATTEMPTS);
  private static final ImmutableSet<String> MATCH_KEYS =
      ImmutableSet.of(MODEL, PATH_PREFIX, WORKSPACES);
  private static final ImmutableSet<String> TARGET_KEYS =
      ImmutableSet.of(FIRST_TOKEN_MILLIS, BETWEEN_TOKENS_MILLIS, DEADLINE_MILLIS);
  private static final ImmutableSet<String> WORKSPACE_KEYS =
      ImmutableSet.of(LABELS, LIMITS, TOKEN_SHA256);
  private static final ImmutableSet<String> LIMIT_KEYS =
      ImmutableSet.of(REQUESTS_PER_SECOND, PROMPT_TOKENS_PER_SECOND, CONCURRENCY);
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String NO_ADDRESS = "";

  private final ProblemCollector problems;

  ObjectReader(ProblemCollector problems) {
    this.problems = problems;
  }

  /**
   * Reads one object. Invalid fields are reported and replaced by defaults, so that later checks
   * can continue; the result is empty if a required field has no default.
   */
  Optional<ConfigurationObject> read(ObjectId id, LocatedValue value, JsonPath path) {
    return switch (id.kind()) {
      case UPSTREAM -> Optional.of(readUpstream(id.name(), open(value, path, UPSTREAM_KEYS)));
      case POOL -> readPool(id.name(), open(value, path, POOL_KEYS));
      case RULE -> Optional.of(readRule(id.name(), open(value, path, RULE_KEYS)));
      case WORKSPACE -> Optional.of(readWorkspace(id.name(), open(value, path, WORKSPACE_KEYS)));
    };
  }

  private FieldReader open(LocatedValue value, JsonPath path, ImmutableSet<String> keys) {
    return FieldReader.open(value, path, keys, problems);
  }

  private ConfigurationObject readUpstream(String name, FieldReader fields) {
    return new Upstream(
        new UpstreamName(name),
        readAddress(fields),
        fields.labels(LABELS),
        readModels(fields),
        (int) fields.wholeNumber(SLOTS, 1, MAX_SLOTS, Upstream.DEFAULT_SLOTS),
        fields.choice(FENCING, FencingSupport.class, FencingSupport.IGNORED),
        fields.wholeNumber(
            LINK_BYTES_PER_SECOND, 1, Long.MAX_VALUE, Upstream.DEFAULT_LINK_BYTES_PER_SECOND));
  }

  private static String readAddress(FieldReader fields) {
    Optional<String> text = fields.requiredText(ADDRESS, Addresses.FORMAT_REMEDY);
    if (text.isPresent() && !Addresses.isValid(text.get())) {
      fields.reportError(ADDRESS, "not an IP number and port", Addresses.FORMAT_REMEDY);
      return NO_ADDRESS;
    }
    return text.orElse(NO_ADDRESS);
  }

  private static ImmutableSet<ModelName> readModels(FieldReader fields) {
    return fields.names(MODELS).stream().map(ModelName::new).collect(ImmutableSet.toImmutableSet());
  }

  private static Optional<ConfigurationObject> readPool(String name, FieldReader fields) {
    Optional<Role> role = fields.requiredChoice(ROLE, Role.class);
    var labels = fields.labels(LABELS);
    var upstreams = fields.requiredSelector(UPSTREAMS);
    return role.map(r -> new Pool(new PoolName(name), r, labels, upstreams));
  }

  private static ConfigurationObject readRule(String name, FieldReader fields) {
    return new Rule(
        new RuleName(name),
        fields.labels(LABELS),
        (int) fields.wholeNumber(PRIORITY, -MAX_PRIORITY, MAX_PRIORITY, 0),
        readMatch(fields.child(MATCH, MATCH_KEYS)),
        fields.requiredSelector(POOLS),
        fields.choice(URGENCY, Urgency.class, Urgency.INTERACTIVE),
        readTargets(fields.child(TARGETS, TARGET_KEYS)),
        fields.choice(REPEATABILITY, Repeatability.class, Repeatability.BY_METHOD),
        (int) fields.wholeNumber(MAX_ATTEMPTS, 1, MAX_ATTEMPTS_LIMIT, Rule.DEFAULT_MAX_ATTEMPTS));
  }

  private static Match readMatch(FieldReader fields) {
    Optional<ModelName> model = fields.parsed(MODEL, ModelName::new, "write the name of a model");
    Optional<String> prefix = fields.text(PATH_PREFIX);
    if (prefix.isPresent() && !prefix.get().startsWith("/")) {
      fields.reportError(PATH_PREFIX, "not a path", "begin it with /");
    }
    return new Match(model, prefix, fields.selector(WORKSPACES));
  }

  private static Targets readTargets(FieldReader fields) {
    Duration deadline = readMillis(fields, DEADLINE_MILLIS, Targets.DEFAULT.deadline());
    Duration firstToken = readMillis(fields, FIRST_TOKEN_MILLIS, Targets.DEFAULT.firstToken());
    if (firstToken.compareTo(deadline) > 0) {
      fields.reportError(
          FIRST_TOKEN_MILLIS,
          "the first token would be due after the deadline",
          "use at most " + deadline.toMillis());
    }
    return new Targets(
        firstToken,
        readMillis(fields, BETWEEN_TOKENS_MILLIS, Targets.DEFAULT.betweenTokens()),
        deadline);
  }

  private static Duration readMillis(FieldReader fields, String key, Duration defaultValue) {
    return Duration.ofMillis(
        fields.wholeNumber(key, 1, MAX_DURATION_MILLIS, defaultValue.toMillis()));
  }

  private static ConfigurationObject readWorkspace(String name, FieldReader fields) {
    return new Workspace(
        new WorkspaceName(name),
        fields.labels(LABELS),
        readLimits(fields.child(LIMITS, LIMIT_KEYS)),
        readTokenHash(fields));
  }

  private static Limits readLimits(FieldReader fields) {
    return new Limits(
        fields.wholeNumber(REQUESTS_PER_SECOND, 0, Long.MAX_VALUE, 0),
        fields.wholeNumber(PROMPT_TOKENS_PER_SECOND, 0, Long.MAX_VALUE, 0),
        (int) fields.wholeNumber(CONCURRENCY, 0, Integer.MAX_VALUE, 0));
  }

  private static Optional<String> readTokenHash(FieldReader fields) {
    Optional<String> hash = fields.text(TOKEN_SHA256);
    if (hash.isPresent() && !SHA256.matcher(hash.get()).matches()) {
      fields.reportError(
          TOKEN_SHA256, "not a SHA-256", "write 64 hex digits in lower case, never the token");
    }
    return hash;
  }
}
