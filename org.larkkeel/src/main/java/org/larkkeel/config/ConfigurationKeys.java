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
  /** The revision of the configuration that a document was exported from. */
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

  /** IP address and port of an upstream. */
  public static final String ADDRESS = "address";

  /** Models of an upstream. */
  public static final String MODELS = "models";

  /** Number of requests that an upstream runs at once. */
  public static final String SLOTS = "slots";

  /** The {@link FencingSupport} of an upstream. */
  public static final String FENCING = "fencing";

  /** Rate of an upstream's network link for KV cache, in bytes per second. */
  public static final String LINK_BYTES_PER_SECOND = "linkBytesPerSecond";

  /** The role of a pool. */
  public static final String ROLE = "role";

  /** Priority of a rule; rules of higher priority are tried first. */
  public static final String PRIORITY = "priority";

  /** The condition on the requests that a rule applies to. */
  public static final String MATCH = "match";

  /** The model of a match. */
  public static final String MODEL = "model";

  /** The path prefix of a match. */
  public static final String PATH_PREFIX = "pathPrefix";

  /** The urgency of a rule's requests. */
  public static final String URGENCY = "urgency";

  /** Latency targets of a rule. */
  public static final String TARGETS = "targets";

  /** Target for the time to the first token, in milliseconds. */
  public static final String FIRST_TOKEN_MILLIS = "firstTokenMillis";

  /** Target for the mean time between tokens, in milliseconds. */
  public static final String BETWEEN_TOKENS_MILLIS = "betweenTokensMillis";

  /** Deadline of a request after its arrival, in milliseconds. */
  public static final String DEADLINE_MILLIS = "deadlineMillis";

  /** The {@link Repeatability} of a rule's requests. */
  public static final String REPEATABILITY = "repeatability";

  /** Maximum number of attempts per request, including the first. */
  public static final String MAX_ATTEMPTS = "maxAttempts";

  /** Limits of a workspace. */
  public static final String LIMITS = "limits";

  /** Limit of requests per second. */
  public static final String REQUESTS_PER_SECOND = "requestsPerSecond";

  /** Limit of prompt tokens per second. */
  public static final String PROMPT_TOKENS_PER_SECOND = "promptTokensPerSecond";

  /** Limit of requests in progress at the same time. */
  public static final String CONCURRENCY = "concurrency";

  /** SHA-256 of a workspace's bearer token. */
  public static final String TOKEN_SHA256 = "tokenSha256";

  /** The id of a change. */
  public static final String ID = "id";

  /** The author of a change. */
  public static final String AUTHOR = "author";

  /** The time of a change, in milliseconds since the Unix epoch. */
  public static final String AT_MILLIS = "atMillis";

  /** The reason of a change. */
  public static final String REASON = "reason";

  /** The revision of the configuration that a change started from. */
  public static final String BASE = "base";

  /** The operations of a change. */
  public static final String OPERATIONS = "operations";

  /** The type of an operation. */
  public static final String TYPE = "type";

  /** The kind of an object. */
  public static final String KIND = "kind";

  /** The name of an object. */
  public static final String NAME = "name";

  /** The content of the object of a put operation. */
  public static final String SPEC = "spec";

  /** The labels that a label operation sets. */
  public static final String SET = "set";

  /** The keys of the labels that a label operation removes. */
  public static final String REMOVE = "remove";

  private ConfigurationKeys() {}
}
