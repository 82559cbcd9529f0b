/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The keys of configuration documents and of changes in JSON.
 *
 * <p>Constants only; safe for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationKeys {
  /** The revision that a document was read at. */
  public static final String REVISION = "revision";

  /** Upstreams by name. */
  public static final String UPSTREAMS = "upstreams";

  /** Pools by name; in a rule, the selector over pools. */
  public static final String POOLS = "pools";

  /** Rules by name. */
  public static final String RULES = "rules";

  /** Workspaces by name; in a match, the selector over workspaces. */
  public static final String WORKSPACES = "workspaces";

  /** Labels of an object. */
  public static final String LABELS = "labels";

  /** IP number and port of an upstream. */
  public static final String ADDRESS = "address";

  /** Models of an upstream. */
  public static final String MODELS = "models";

  /** Requests that an upstream runs at once. */
  public static final String SLOTS = "slots";

  /** Whether an upstream checks fencing numbers. */
  public static final String FENCING = "fencing";

  /** The rate of an upstream's link. */
  public static final String LINK_BYTES_PER_SECOND = "linkBytesPerSecond";

  /** The role of a pool. */
  public static final String ROLE = "role";

  /** The order in which rules are tried. */
  public static final String PRIORITY = "priority";

  /** Which requests a rule takes. */
  public static final String MATCH = "match";

  /** The model of a match. */
  public static final String MODEL = "model";

  /** The path prefix of a match. */
  public static final String PATH_PREFIX = "pathPrefix";

  /** The class of a rule's requests. */
  public static final String URGENCY = "urgency";

  /** Latency targets of a rule. */
  public static final String TARGETS = "targets";

  /** Target for the first token. */
  public static final String FIRST_TOKEN_MILLIS = "firstTokenMillis";

  /** Target between tokens. */
  public static final String BETWEEN_TOKENS_MILLIS = "betweenTokensMillis";

  /** Deadline of a request. */
  public static final String DEADLINE_MILLIS = "deadlineMillis";

  /** How often a request may run. */
  public static final String REPEATABILITY = "repeatability";

  /** Attempts in all. */
  public static final String MAX_ATTEMPTS = "maxAttempts";

  /** Limits of a workspace. */
  public static final String LIMITS = "limits";

  /** Requests a second. */
  public static final String REQUESTS_PER_SECOND = "requestsPerSecond";

  /** Prompt tokens a second. */
  public static final String PROMPT_TOKENS_PER_SECOND = "promptTokensPerSecond";

  /** Requests in progress at once. */
  public static final String CONCURRENCY = "concurrency";

  /** SHA-256 of a workspace's bearer token. */
  public static final String TOKEN_SHA256 = "tokenSha256";

  /** The id of a change. */
  public static final String ID = "id";

  /** The author of a change. */
  public static final String AUTHOR = "author";

  /** The time of a change. */
  public static final String AT_MILLIS = "atMillis";

  /** The reason of a change. */
  public static final String REASON = "reason";

  /** The revision that a change was made from. */
  public static final String BASE = "base";

  /** The operations of a change. */
  public static final String OPERATIONS = "operations";

  /** The type of an operation. */
  public static final String TYPE = "type";

  /** The kind of an object. */
  public static final String KIND = "kind";

  /** The name of an object. */
  public static final String NAME = "name";

  /** The content of an object that is put. */
  public static final String SPEC = "spec";

  /** Labels to set. */
  public static final String SET = "set";

  /** Label keys to remove. */
  public static final String REMOVE = "remove";

  private ConfigurationKeys() {}
}
