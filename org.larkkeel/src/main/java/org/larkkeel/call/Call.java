/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.call;

import java.util.Optional;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * A request of a caller without its body, which the listener keeps.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Call {
  /**
   * Returns the id that this node gave to the request.
   *
   * @return the id
   */
  RequestId id();

  /**
   * Returns the caller's workspace.
   *
   * @return the workspace
   */
  WorkspaceName workspace();

  /**
   * Returns the key under which the request runs at most once.
   *
   * @return the key; empty if the caller sent none
   */
  Optional<RunKey> runKey();

  /**
   * Returns the prompt tokens that count against the limit of the workspace.
   *
   * @return tokens; 0 for a plain call
   */
  default int promptTokens() {
    return switch (this) {
      case Completion completion -> completion.prompt();
      case Plain plain -> 0;
    };
  }

  /**
   * A completion of a prompt by a model.
   *
   * @param id the id
   * @param workspace the workspace
   * @param runKey the key under which it runs at most once; empty if none
   * @param model the requested model
   * @param prompt the number of prompt tokens, at least 1
   * @param maxTokens the maximum number of tokens to generate, at least 1
   * @param prefixes the keys of the prompt's prefixes
   * @param deadlineMillis the caller's own deadline, counted from arrival; 0 to use the rule's
   */
  record Completion(
      RequestId id,
      WorkspaceName workspace,
      Optional<RunKey> runKey,
      ModelName model,
      int prompt,
      int maxTokens,
      PrefixKeys prefixes,
      long deadlineMillis)
      implements Call {}

  /**
   * A plain HTTP call to a service.
   *
   * @param id the id
   * @param workspace the workspace
   * @param runKey the key under which it runs at most once; empty if none
   * @param path the path, beginning with a slash
   * @param idempotentMethod true if RFC 9110 defines the method as idempotent
   * @param deadlineMillis the caller's own deadline, counted from arrival; 0 to use the rule's
   */
  record Plain(
      RequestId id,
      WorkspaceName workspace,
      Optional<RunKey> runKey,
      String path,
      boolean idempotentMethod,
      long deadlineMillis)
      implements Call {}
}
