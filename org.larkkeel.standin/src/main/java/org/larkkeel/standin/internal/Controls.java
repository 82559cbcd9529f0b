/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.Map;
import java.util.function.Function;

/**
 * The control endpoint of a stand-in: {@code POST /control/{name}?parameter=value}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Controls {
  private static final String PREFIX = "/control/";
  private static final Done DONE = new Done(true);

  private final ImmutableMap<String, Function<Call, Object>> actions;

  private record Done(boolean done) {}

  private record Unknown(String error, Iterable<String> known) {}

  private Controls(Map<String, Function<Call, Object>> actions) {
    this.actions = ImmutableMap.copyOf(actions);
  }

  /**
   * Starts a list of actions.
   *
   * @return a builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Answers a call if it is one to the control endpoint.
   *
   * @param call the call
   * @return true if it was answered
   * @throws IOException if the connection breaks
   */
  public boolean handle(Call call) throws IOException {
    if (!call.path().startsWith(PREFIX)) {
      return false;
    }
    Function<Call, Object> action = actions.get(call.pathAfter(PREFIX));
    if (action == null) {
      call.reply(404, new Unknown("no such control", actions.keySet()));
      return true;
    }
    try {
      call.reply(200, action.apply(call));
    } catch (RefusedException e) {
      call.reply(e.status(), new Unknown(e.getMessage(), actions.keySet()));
    }
    return true;
  }

  /**
   * Gathers actions. Not safe for use by several threads.
   *
   * @since 0.1
   */
  public static final class Builder {
    private final ImmutableMap.Builder<String, Function<Call, Object>> actions =
        ImmutableMap.builder();

    private Builder() {}

    /** An action without an answer of its own. */
    @FunctionalInterface
    public interface Action {
      /**
       * Does it.
       *
       * @param call the call, for its parameters
       */
      void run(Call call);
    }

    /**
     * Adds an action.
     *
     * @param name the name in the path
     * @param action what to do
     * @return this builder
     */
    public Builder action(String name, Action action) {
      actions.put(
          name,
          call -> {
            action.run(call);
            return DONE;
          });
      return this;
    }

    /**
     * Adds a view.
     *
     * @param name the name in the path
     * @param view gives what to show as JSON
     * @return this builder
     */
    public Builder view(String name, Function<Call, Object> view) {
      actions.put(name, view);
      return this;
    }

    /**
     * Ends the list.
     *
     * @return the controls
     */
    public Controls build() {
      return new Controls(actions.buildOrThrow());
    }
  }
}
