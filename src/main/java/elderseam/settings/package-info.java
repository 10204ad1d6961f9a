/**
 * Operators' files. {@link elderseam.settings.Settings} reads and checks the settings file, whose keys with their types,
 * ranges and defaults are {@link elderseam.settings.SettingKeys}; {@link elderseam.settings.SectionFile} reads the form
 * that rules and scenarios have. All that is wrong with a file is reported at once, as a {@link
 * elderseam.settings.SettingsFault}. Uses no other package of the project.
 */
package elderseam.settings;
