/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * Paths and query parameters of the operators' API.
 *
 * <p>Constants only; safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorPaths {
  /** The prefix of all paths under which {@link OperatorApi} serves. */
  public static final String PREFIX = "/operator/v1";

  /** The configuration; read by GET. */
  public static final String CONFIGURATION = PREFIX + "/configuration";

  /** The changes: proposed by POST, listed by GET. */
  public static final String CHANGES = PREFIX + "/changes";

  /** The explanation of a routing decision; read by GET. */
  public static final String EXPLANATION = PREFIX + "/explanation";

  /** The state of the node; read by GET. */
  public static final String STATUS = PREFIX + "/status";

  /** The rollout state of a revision; read by GET. */
  public static final String ROLLOUT = PREFIX + "/rollout";

  /** The graceful shutdown of the node; started by POST. */
  public static final String DRAIN = PREFIX + "/drain";

  /**
   * The suspect and quarantined requests, at the metrics address of a relay node: listed by GET; a
   * DELETE of a request's path below this one releases the request.
   */
  public static final String QUARANTINE = "/quarantine";

  /** The rate limits announced by upstreams, at a relay node's metrics address; read by GET. */
  public static final String UPSTREAM_LIMITS = "/upstream-limits";

  /** Query parameter: true if a change is only checked. */
  public static final String DRY_RUN = "dryRun";

  /** Query parameter: the first revision to return. */
  public static final String FROM = "from";

  /** Query parameter: the maximum number of entries to return. */
  public static final String LIMIT = "limit";

  /** Query parameter: the revision whose rollout is requested. */
  public static final String REVISION = "revision";

  /** Query parameter: the model of the request to explain. */
  public static final String MODEL = "model";

  /** Query parameter: the path of the request to explain. */
  public static final String PATH = "path";

  /** Query parameter: the workspace of the request to explain. */
  public static final String WORKSPACE = "workspace";

  /** Query parameter: the prompt length, in tokens, of the request to explain. */
  public static final String PROMPT_TOKENS = "promptTokens";

  private OperatorPaths() {}
}
