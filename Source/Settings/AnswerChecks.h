// Checks across the answers of a questionnaire: availability zones that aren't
// declared, addresses that contradict each other, routes that two services
// claim, too few disks.
#ifndef MANGOCART_SETTINGS_ANSWERCHECKS_H
#define MANGOCART_SETTINGS_ANSWERCHECKS_H

#include "Settings/SettingsError.h"

namespace mangocart {

namespace schema {
class Questionnaire;
} // namespace schema

SettingsErrors checkAnswers(const schema::Questionnaire &Answers,
                            const KeyLines &Lines);

} // namespace mangocart

#endif
