/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The settings of a stand-in engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the engine's name, never null
 * @param bind the address to listen on; port 0 takes a free one
 * @param role the role at the start
 * @param speeds the speeds of the hardware
 * @param memory slots, memory and link
 * @param reports lag and loss of reports
 * @param fencing what happens to orders with an old fencing number
 * @param models the models loaded at the start
 * @param loadMillis how long loading a model takes, in milliseconds
 * @param cancelOnDisconnect whether a decode ends when its connection breaks
 * @since 0.1
 */
public record EngineSettings(
    String name,
    InetSocketAddress bind,
    EngineRole role,
    EngineSpeeds speeds,
    EngineMemory memory,
    EngineReports reports,
    FencingHabit fencing,
    ImmutableList<String> models,
    long loadMillis,
    boolean cancelOnDisconnect) {

  /**
   * Settings with defaults: a new generation on a free port of 127.0.0.1.
   *
   * @param name the engine's name
   * @param role the role at the start
   * @param models the models loaded at the start
   * @return the settings
   */
  public static EngineSettings of(String name, EngineRole role, String... models) {
    return new EngineSettings(
        name,
        new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0),
        role,
        EngineSpeeds.NEW,
        EngineMemory.DEFAULTS,
        EngineReports.DEFAULTS,
        FencingHabit.CHECK,
        ImmutableList.copyOf(models),
        500,
        false);
  }

  /**
   * Changes the address.
   *
   * @param value the address to listen on
   * @return a copy
   */
  public EngineSettings withBind(InetSocketAddress value) {
    return new EngineSettings(
        name,
        value,
        role,
        speeds,
        memory,
        reports,
        fencing,
        models,
        loadMillis,
        cancelOnDisconnect);
  }

  /**
   * Changes the speeds.
   *
   * @param value the speeds
   * @return a copy
   */
  public EngineSettings withSpeeds(EngineSpeeds value) {
    return new EngineSettings(
        name, bind, role, value, memory, reports, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Changes slots, memory and link.
   *
   * @param value slots, memory and link
   * @return a copy
   */
  public EngineSettings withMemory(EngineMemory value) {
    return new EngineSettings(
        name, bind, role, speeds, value, reports, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Changes lag and loss of reports.
   *
   * @param value lag and loss
   * @return a copy
   */
  public EngineSettings withReports(EngineReports value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, value, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Changes what happens to orders with an old fencing number.
   *
   * @param value the habit
   * @return a copy
   */
  public EngineSettings withFencing(FencingHabit value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, value, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Changes how long loading a model takes.
   *
   * @param value milliseconds
   * @return a copy
   */
  public EngineSettings withLoadMillis(long value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, fencing, models, value, cancelOnDisconnect);
  }

  /**
   * Changes whether a decode ends when its connection breaks.
   *
   * @param value true to end it
   * @return a copy
   */
  public EngineSettings withCancelOnDisconnect(boolean value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, fencing, models, loadMillis, value);
  }
}
